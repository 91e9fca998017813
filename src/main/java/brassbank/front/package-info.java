/** The platform's client protocol, the one front so far; it carries out what the facade decides. */
package brassbank.front;
