/**
 * The controller of a cluster scheduler. {@link fennelthread.Controller} creates the subsystems,
 * one package each, and connects them; begin reading there. Each controller process runs on the one
 * thread of its event loop.
 */
package fennelthread;
