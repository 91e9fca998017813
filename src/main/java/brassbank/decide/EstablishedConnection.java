package brassbank.decide;

/**
 * A connection that stands, as another process of the same proxy must know it to count it.
 *
 * @param id its number in the process that holds it
 * @param tenant or null
 * @param group what it shares work with, or null
 * @param loadHint its client's guess at its load, 0 for none
 * @param target the name of its target
 * @param load as the target told it last, NaN where it has not
 */
public record EstablishedConnection(
    long id,
    String key,
    String flowClass,
    String tenant,
    String group,
    double loadHint,
    String target,
    double load) {}
