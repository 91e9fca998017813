/**
 * The sources of time and randomness of the program. All code receives them from the classes of
 * this package, by its constructors, so that a simulation can be replayed exactly. The package
 * depends on no other package of the project.
 */
package brassbank.sources;
