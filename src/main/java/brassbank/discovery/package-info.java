/**
 * The client of the discovery service: the watch for changes of the target group, fetches of the
 * whole list, and retries, all over HTTP.
 */
package brassbank.discovery;
