/**
 * Which hosts a proxy of a large fleet asks, and places at first, out of who is there and what
 * discovery lists. Values in, values out. docs/subsets.md has the options weighed, the rule and its
 * bound.
 */
package brassbank.subsets;
