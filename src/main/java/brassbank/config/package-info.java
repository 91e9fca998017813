/** What the proxy is told: the LB_ variables and the JSON configuration. */
package brassbank.config;
