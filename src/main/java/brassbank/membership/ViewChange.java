package brassbank.membership;

/**
 * A change from one view to the next. Both members are null when only {@link View#settled} changed.
 *
 * @param version the version of the view after the change
 * @param before the member before the change; null if it was unknown
 * @param after the member after the change; null if it was removed from the view
 */
public record ViewChange(long version, Member before, Member after) {}
