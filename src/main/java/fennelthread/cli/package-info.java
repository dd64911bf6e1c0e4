/**
 * The command line: {@code serve} (the default), {@code check}, {@code submit}, {@code status},
 * {@code cancel}, {@code emulate}, and the hidden {@code train} that the build runs for the
 * class-data archive. {@link fennelthread.cli.Main} is the entry point of the program.
 */
package fennelthread.cli;
