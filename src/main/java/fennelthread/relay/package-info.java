/**
 * Communication between a leader and workers that cannot reach each other, through the other
 * controllers: {@link fennelthread.relay.Relay} passes reports on to the leader, {@link
 * fennelthread.relay.CommandSender} sends commands directly or through a peer. Everything runs on
 * the event loop's thread.
 */
package fennelthread.relay;
