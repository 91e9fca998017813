/**
 * Divides the fleet's budgets among its processes, so that all together never spend more than each
 * budget. Each process holds a lease (Gray and Cheriton, 1989) for its rank, granted by a majority
 * of the grantors (Gifford, 1979). The package is pure: it opens no socket, starts no thread, and
 * takes the time from its caller. docs/shares.md has the rule, the bound and its proof.
 */
package brassbank.shares;
