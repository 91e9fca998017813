package brassbank.membership;

/**
 * One step from a view to the next.
 *
 * @param version of the view that has it
 * @param before null for one that was not known
 * @param after null for one that is forgotten
 */
public record ViewChange(long version, Member before, Member after) {}
