/**
 * What the service needs at a size that was never tried: measured slopes, a plan, and the tables of
 * docs/CAPACITY.md that follow from both. Pure computation; no part of the running service.
 */
package fennelthread.capacity;
