/**
 * Decides in each scheduling round which waiting task starts on which machine, and which running
 * tasks are preempted for that.
 *
 * <p>{@link fennelthread.plan.Planner#plan} is the entry point. It is a pure function from a {@link
 * fennelthread.plan.Snapshot} to a {@link fennelthread.plan.PlacementPlan}: no clock, no
 * randomness, nothing sent or stored, so that a test can reproduce any decision from its snapshot.
 * {@link fennelthread.plan.Aging} prevents the starvation of large and less urgent jobs.
 *
 * <p>A round runs on the thread of the leader's event loop, which also renews its lease. To handle
 * thousands of tasks and hundreds of machines on a tenth of a core, the inner loops allocate as
 * little as possible; therefore some methods return null where other packages return an {@code
 * Optional}.
 */
package fennelthread.plan;
