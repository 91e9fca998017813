/** The program: arguments, wiring and signals. */
package brassbank;
