/**
 * The command {@code emulate}: real controllers on this machine among emulated workers, users,
 * cloud and state service, with an invariant checker and a report. No part of a controller; loaded
 * by its own command only. {@link fennelthread.emulate.Emulation} is where to begin.
 */
package fennelthread.emulate;
