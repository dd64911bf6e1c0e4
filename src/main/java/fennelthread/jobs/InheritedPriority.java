package fennelthread.jobs;

import fennelthread.wire.Priority;

/**
 * The priority and deadlines that a job inherits from the waiting jobs that depend on it, directly
 * or through others (priority inheritance along dependencies).
 *
 * @param priority the most urgent priority among the dependants
 * @param dueMs the wall-clock time by which the job must be done so that every dependant can meet
 *     its deadline, ms; 0 if none has a deadline
 * @param lastDueMs the same time for the latest deadlines that the settings derive from those of
 *     the dependants, ms; 0 if none has a deadline
 */
public record InheritedPriority(Priority priority, long dueMs, long lastDueMs) {}
