/**
 * Configuration that is ours: a schema in code, from which files in TOML are read and checked, values are shown with
 * where they came from, and the reference page is made. Knows neither the relay nor its tools.
 */
package firstair.config;
