package brassbank.route;

/**
 * A flow that needs a place.
 *
 * @param flow its number, which this process uses once
 * @param left until its final answer is due, in microseconds
 * @param attempts that may still be made of it
 * @param crossed whether it came over a link, or has crossed one before
 */
public record Arrival(long flow, String flowClass, long left, int attempts, boolean crossed) {}
