/**
 * Communication between a leader and workers that cannot reach each other, through the other
 * controllers. {@link fennelthread.relay.Relay} relays workers' reports to the leader; {@link
 * fennelthread.relay.CommandSender} sends commands directly or through a peer; {@link
 * fennelthread.relay.WorkerReachability} detects that reports no longer reach the leader; {@link
 * fennelthread.relay.UnreachableLeaderNotice} tells a leader through the state service that workers
 * report to a follower instead. Everything runs on the event loop's thread.
 */
package fennelthread.relay;
