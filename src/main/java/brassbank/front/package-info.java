/**
 * The client-facing side of the proxy: the platform's client protocol, whose flows it submits to
 * the dispatcher and whose clients it gives the resulting answers.
 */
package brassbank.front;
