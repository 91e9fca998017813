package brassbank.decide;

import java.net.InetSocketAddress;

/** A stream host: the name that every proxy knows it by, and where this proxy reaches it. */
public record Target(String name, InetSocketAddress address) {}
