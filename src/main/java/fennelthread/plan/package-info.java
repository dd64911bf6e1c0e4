/**
 * Placement: decides in each scheduling round which waiting task starts on which machine, and which
 * running tasks are preempted for that.
 *
 * <p>{@link fennelthread.plan.Planner#plan} is the entry point. It is a pure function from a {@link
 * fennelthread.plan.Snapshot} to a {@link fennelthread.plan.PlacementPlan}: no clock, no
 * randomness, nothing sent or stored, so that any decision can be repeated in a test. {@link
 * fennelthread.plan.Aging} keeps large and unurgent jobs from starving.
 *
 * <p>A round runs on the leader's event loop, which also renews its lease. With thousands of tasks
 * and hundreds of machines on a tenth of a core its inner loops allocate as little as possible;
 * therefore some of them return null where other packages return an {@code Optional}.
 */
package fennelthread.plan;
