/**
 * Failover: how controllers detect that the leader has failed and elect the next one before the
 * leader's lease at the state service expires. {@link fennelthread.election.LeaderElection} is the
 * entry point; {@link fennelthread.election.LeadershipPromises} explains why two leaders can't both
 * start tasks. Everything runs on the event loop's thread.
 */
package fennelthread.election;
