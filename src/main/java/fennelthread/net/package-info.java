/**
 * The event loop and HTTP. {@link fennelthread.net.EventLoop} is what a controller asks of the
 * machine it runs on: clocks, timers, randomness, heap and requests; {@link
 * fennelthread.net.XnioEventLoop} is the real one, and tests put a seeded simulation in its place.
 * There is one thread for everything, so that no state of a controller needs a lock.
 */
package fennelthread.net;
