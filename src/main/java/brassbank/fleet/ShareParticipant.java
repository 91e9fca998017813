package brassbank.fleet;

import brassbank.shares.BudgetShare;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Who shares the fleet's budgets.
 *
 * @param rank its own, below {@code of}
 * @param of how many ranks there are
 * @param taken how many clients have come so far
 * @param told hears on the loop's thread of each change of what it may spend
 */
public record ShareParticipant(
    int rank, int rankCount, LongSupplier clientsAccepted, Consumer<BudgetShare> shareListener) {}
