package fennelthread.relay;

/**
 * The leader as far as this controller knows.
 *
 * @param member the leading controller's name, or null if none is known
 * @param epoch the epoch that it leads
 */
public record KnownLeader(String member, long epoch) {}
