/**
 * Communication between a leader and workers that cannot reach each other, through the other
 * controllers. {@link fennelthread.relay.Relay} relays workers' reports to the leader; {@link
 * fennelthread.relay.CommandSender} sends commands directly or through a peer; {@link
 * fennelthread.relay.WorkerReachability} decides when the leader has lost its workers; {@link
 * fennelthread.relay.UnreachableLeaderNotice} tells it so through the state service. Everything
 * runs on the event loop's thread.
 */
package fennelthread.relay;
