/**
 * The HTTP interface for users, workers and the load balancer. {@link fennelthread.api.Api} routes
 * requests. The package holds no state except counters for the log, and runs on the event loop's
 * thread.
 */
package fennelthread.api;
