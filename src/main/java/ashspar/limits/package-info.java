/**
 * The limits, budgets and estimates that a node applies: how many set-ups may be in progress per
 * server and in the fleet, which requests wait and which are rejected, how many repeated attempts
 * are allowed, which servers are ejected after failures, how fast a node may place requests after
 * its start, and how much load it has added to each server since the last report.
 *
 * <p>All types are pure: they do no I/O and have no threads, clock or source of randomness. The
 * caller passes the time in microseconds of a monotonic clock. The types keep counts, estimates,
 * budgets and queues and answer questions about them; the policy in {@code ashspar} takes the
 * decisions. This package does not depend on {@code ashspar}. Instances are not thread-safe.
 * docs/limits.md discusses the alternatives.
 */
package ashspar.limits;
