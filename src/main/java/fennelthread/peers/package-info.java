/**
 * The exchange between the controllers of one cluster, the peers: periodic heartbeats in JSON, and
 * requests and answers of other packages that share their connections. {@link
 * fennelthread.peers.PeerHeartbeats} sends and receives heartbeats and answers questions about the
 * peers: begin there. {@link fennelthread.peers.PeerHeartbeat} is the message. Everything runs on
 * the controller's event loop; what a heartbeat means for elections or leases is up to those
 * packages, which join as {@link fennelthread.peers.HeartbeatExtension}.
 */
package fennelthread.peers;
