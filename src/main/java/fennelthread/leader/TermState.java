package fennelthread.leader;

import fennelthread.fleet.Fleet;

/**
 * What a term has learned since it began; shared by its parts and dropped with it.
 *
 * @param fleet the machines and the attempts that may be on them
 * @param activeJobs the live jobs and their progress
 * @param runTimes how long tasks take in comparison with their estimates
 */
record TermState(Fleet fleet, ActiveJobs activeJobs, RunTimeEstimator runTimes) {}
