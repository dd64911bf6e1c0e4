/**
 * Communication between the controllers of one cluster, which are peers: periodic heartbeats in
 * JSON, and requests of other packages to the peers' services. {@link
 * fennelthread.peers.PeerHeartbeats} sends and receives heartbeats and answers questions about the
 * peers: begin there. {@link fennelthread.peers.PeerHeartbeat} is the message. Everything runs on
 * the controller's event loop. The packages for elections and leases add their own fields to
 * heartbeats and interpret them, each as a {@link fennelthread.peers.HeartbeatExtension}.
 */
package fennelthread.peers;
