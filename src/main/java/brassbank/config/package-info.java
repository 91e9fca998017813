/** The configuration of the proxy: the {@code LB_} environment variables and the JSON file. */
package brassbank.config;
