package brassbank.decide;

/**
 * An established connection, as reported to other processes of the same proxy so that they can
 * count it.
 *
 * @param id the flow's number in the process that holds the connection
 * @param tenant the flow's tenant, or null
 * @param group the name of the group of flows that share work on a target, or null
 * @param loadHint the client's estimate of its load, 0 for none
 * @param target the name of the target
 * @param load the load that the target last reported, NaN before the first report
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
