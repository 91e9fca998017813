package brassbank.route;

/** A crossing as the far side knows it: whose, and of which of that gateway's lives. */
public record Guest(Peer peer, long incarnation, long number) {}
