/**
 * Capacity planning: computes the tables of docs/capacity.md, which estimate from measured slopes
 * what a planned fleet size needs. A controller does not use this package; {@link
 * fennelthread.capacity.CapacityMain} is its command.
 */
package fennelthread.capacity;
