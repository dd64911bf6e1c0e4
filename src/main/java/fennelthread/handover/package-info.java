/**
 * Leadership handover: a peer revokes the lease of a leader that has stepped down and can't revoke
 * it itself. {@link fennelthread.handover.Handover} is the only class. Runs on the event loop's
 * thread.
 */
package fennelthread.handover;
