/**
 * The two settings files: the platform's (TOML, {@link fennelthread.settings.Settings}), whose
 * unknown fields are ignored, and the operators' (an S-expression, {@link
 * fennelthread.settings.Options}), which is parsed strictly. Both are read once, at startup, into
 * immutable values. The files' field names appear only in this package.
 */
package fennelthread.settings;
