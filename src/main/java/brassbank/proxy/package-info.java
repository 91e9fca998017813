/**
 * One proxy: its components and its planned stop. The proxy is created on a network that it is
 * given, and depends on no process, signal or file.
 */
package brassbank.proxy;
