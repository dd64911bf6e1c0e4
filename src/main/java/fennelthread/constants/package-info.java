/**
 * The numeric constants of the program, a class for each concern, each constant with its unit and,
 * where it is not obvious, its reason. {@code LayersTest} keeps numeric constants out of the other
 * packages except {@code wire} and {@code cli}; the names of messages, stored keys and settings
 * stand where they are read and written.
 */
package fennelthread.constants;
