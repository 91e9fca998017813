package brassbank.membership;

import java.net.InetSocketAddress;

/** A ping that was sent because another asked for it. */
record Relayed(InetSocketAddress asker, int askersSequence, String target, long nackAt) {}
