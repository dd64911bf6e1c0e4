/**
 * The tables of docs/capacity.md: from measured slopes to what a size of the fleet needs. No part
 * of a controller; loaded by its own command only.
 */
package fennelthread.capacity;
