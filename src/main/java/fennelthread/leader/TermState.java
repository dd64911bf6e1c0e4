package fennelthread.leader;

import fennelthread.fleet.Fleet;

/**
 * The in-memory state of one term, shared by the term's components and discarded with it.
 *
 * @param fleet the machines and the attempts that may be on them
 * @param activeJobs the live jobs and their progress
 * @param runTimes how long tasks take in comparison with their estimates
 */
record TermState(Fleet fleet, ActiveJobs activeJobs, RunTimeEstimator runTimes) {}
