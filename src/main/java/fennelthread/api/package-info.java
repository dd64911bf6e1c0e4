/**
 * The HTTP interface for users, workers and the load balancer. {@link fennelthread.api.Api} routes
 * requests; the package owns no state beyond counts for the log. Everything runs on the event
 * loop's thread.
 */
package fennelthread.api;
