/**
 * The decision module of a balancer for long-lived connections: it places requests on servers,
 * queues or refuses them, and moves connections off overloaded servers. {@link ashspar.Balancer} is
 * its interface, {@link ashspar.Policy} its implementation.
 */
package ashspar;
