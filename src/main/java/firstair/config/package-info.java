/**
 * Reads our own settings by a schema defined in code: parses and validates TOML files, variables and flags, records the
 * origin of each value, and renders the reference page. Does not depend on the relay or the command line.
 */
package firstair.config;
