/**
 * The two settings files: the platform's (TOML, {@link fennelthread.settings.Settings}), whose
 * unknown fields are ignored, and the operators' (an S-expression, {@link
 * fennelthread.settings.Options}), which is parsed strictly. Both are read once, at startup, into
 * immutable values. No other package reads the files' fields.
 */
package fennelthread.settings;
