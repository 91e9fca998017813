/**
 * What one proxy may spend of budgets that are the fleet's, so that all together spend no more than
 * each budget at any moment: seats, which are leases (Gray and Cheriton, 1989) from a majority of
 * the fleet's ranks (Gifford, 1979). Values in, values out: no socket, no thread, no clock and no
 * chance. docs/shares.md has the rule, the bound and its proof.
 */
package brassbank.shares;
