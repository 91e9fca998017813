package brassbank.sim;

import java.util.Locale;

/**
 * Prints the table of docs/simulation.md: each planted bug, its rule, and the first seed that
 * catches it.
 */
final class PlantedBugTable {
  private static final long MAX_SEED = 1_000;

  private PlantedBugTable() {}

  public static void main(String[] args) {
    for (PlantedBug bug : PlantedBug.values()) {
      long seed =
          bug.caughtBy(
              MAX_SEED,
              (other, breach) -> System.err.println(bug + ", seed " + other + ": " + breach));
      String name = bug.name().toLowerCase(Locale.ROOT).replace('_', ' ');
      System.out.println("| " + name + " | " + bug.rule + " | " + seed + " |");
    }
  }
}
