package brassbank.decide;

import java.net.InetSocketAddress;

/** A stream host: the name by which all proxies know it, and its address for this proxy. */
public record Target(String name, InetSocketAddress address) {}
