/**
 * The event loop and HTTP. {@link fennelthread.net.EventLoop} gives a controller clocks, timers,
 * randomness, heap figures and requests to other components: begin there. {@link
 * fennelthread.net.XnioEventLoop} implements it on real sockets, with an HTTP client and server; a
 * seeded simulation implements it for tests. Everything runs on one thread, so that no state of a
 * controller needs a lock.
 */
package fennelthread.net;
