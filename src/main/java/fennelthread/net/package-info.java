/**
 * The event loop and HTTP. {@link fennelthread.net.EventLoop} gives a controller clocks, timers,
 * randomness, heap figures and requests to other components: begin there. {@link
 * fennelthread.net.XnioEventLoop} implements it on real sockets, with an HTTP client and server;
 * tests implement it by a seeded simulation. Everything runs on one thread, so that no state of a
 * controller needs a lock.
 */
package fennelthread.net;
