/**
 * Detects outages of availability zones from the silence of their machines: which zones are
 * unreachable as a whole, and what that means for placing tasks and for renting and returning
 * machines.
 *
 * <p>{@link fennelthread.zones.ZoneMonitor} is the entry point: it counts silent machines several
 * times a second, on the thread of the controller's event loop. {@link
 * fennelthread.zones.ZoneState} is the state machine of one zone. See docs/zones.md.
 */
package fennelthread.zones;
