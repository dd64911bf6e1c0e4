package fennelthread.relay;

/** Who leads, as far as this controller knows, and under which epoch. */
public record KnownLeader(String member, long epoch) {}
