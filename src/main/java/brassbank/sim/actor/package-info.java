/**
 * The simulated actors that a proxy communicates with: stream hosts, discovery, the load balancer
 * in front of the proxies, regular and bad clients. They implement the platform's protocol in code
 * of their own: nothing here parses a line or a list with the proxy's code, so that two independent
 * implementations check each other. Uses {@code sim.net}, {@code sim.event} and {@code sim.time}.
 */
package brassbank.sim.actor;
