/** The project's own logger. */
package brassbank.log;
