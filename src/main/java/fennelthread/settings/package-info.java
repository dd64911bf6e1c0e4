/**
 * The two settings files: the platform's (TOML, {@link fennelthread.settings.Settings}), whose
 * unknown fields are ignored, and the operators' own (an S-expression, {@link
 * fennelthread.settings.Options}), which is strict. Both are read once, at the start, into
 * immutable values. Field names of the files appear in this package alone.
 */
package fennelthread.settings;
