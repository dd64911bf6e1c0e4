/**
 * Leadership: the lease that entitles this controller to lead, and the term of a leader, which
 * places tasks and records their ends.
 *
 * <p>{@link fennelthread.leader.LeaderLease} lives as long as the process; {@link
 * fennelthread.leader.Term} is created at each election and connects the components of a term. The
 * scheduling loop plans and records starts, the completion writer records finished tasks and done
 * jobs, and the record garbage collector removes obsolete records. Everything runs on the event
 * loop's thread. Start reading at {@code LeaderLease}, then at {@code Term}.
 */
package fennelthread.leader;
