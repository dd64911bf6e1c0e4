/**
 * Simulates a cluster for tests: real controllers in simulated time, a network with faults,
 * emulators of the state service, the cloud, the workers and the users, and an invariant checker
 * that runs after each event. Runs are deterministic: the same seed gives the same run. Controllers
 * don't use this package.
 */
package fennelthread.simulation;
