/**
 * Decides whether the accepted jobs leave room for another one: each controller estimates what they
 * take of a leader's heap, and all compare that with the smallest heap among them, so that no
 * controller accepts what another could not hold as the leader. Runs on the event loop's thread.
 */
package fennelthread.admission;
