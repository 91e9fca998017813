/** Discovery over HTTP: the whole list, the watch, and asking again. */
package brassbank.discovery;
