package brassbank.fleet;

import brassbank.shares.BudgetShare;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * How this process takes part in the division of the fleet's budgets.
 *
 * @param rank its own rank, below {@code rankCount}
 * @param rankCount the number of ranks
 * @param clientsAccepted returns the number of clients accepted so far
 * @param shareListener called on the event loop's thread with each change of the share
 */
public record ShareParticipant(
    int rank, int rankCount, LongSupplier clientsAccepted, Consumer<BudgetShare> shareListener) {}
