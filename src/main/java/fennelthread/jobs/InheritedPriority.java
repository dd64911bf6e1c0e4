package fennelthread.jobs;

import fennelthread.wire.Priority;

/**
 * The urgency that a job inherits from the jobs that depend on it, directly or through others
 * (priority inheritance along dependencies).
 *
 * @param priority the most urgent priority among the dependants
 * @param dueMs the earliest time of day by which the job must be done so that every dependant can
 *     meet its deadline, ms; 0 if none has a deadline
 * @param lastDueMs the same for the last deadlines that the settings derive from theirs, ms; 0 if
 *     there are none
 */
public record InheritedPriority(Priority priority, long dueMs, long lastDueMs) {}
