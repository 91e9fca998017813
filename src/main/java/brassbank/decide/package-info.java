/**
 * The facade in front of the decision module: pick, report and tick, all answered by their return
 * value. Nothing outside this package sees the module's events or actions.
 */
package brassbank.decide;
