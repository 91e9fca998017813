/**
 * The optional TOML file that {@code serve --config FILE} names, with settings that the platform's
 * JSON configuration does not contain. Without the option none of these classes is loaded.
 *
 * <p>{@link brassbank.config.file.Keys} declares every key with its default, unit and bounds; the
 * reader, {@code brassbank check} and docs/configuration.md are all derived from it. {@link
 * brassbank.config.file.OptionsFile} reads a file and reports all its problems at once, each with
 * its line; only that class uses the TOML library. {@link brassbank.config.file.Options} holds the
 * values of a valid file in the types of the packages that use them.
 *
 * <p>Files are read on the calling thread, never on the event loop's. The package depends on the
 * packages whose values are configured; they do not depend on it.
 */
package brassbank.config.file;
