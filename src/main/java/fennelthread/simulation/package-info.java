/**
 * Controllers and everything around them in simulated time: a seeded network with faults, emulators
 * of the state service, the cloud, workers and users, and an invariant checker that looks after
 * each event. What the tests run on; no part of a controller. One seed gives one run.
 */
package fennelthread.simulation;
