package fennelthread.constants;

/** Defaults of settings, and values derived from them. */
public final class SettingsConstants {
  /**
   * Default of the shortest time between two scheduling rounds, ms: bounds writes; events in
   * between share a round.
   */
  public static final long DEFAULT_ROUND_GAP_MS = 60;

  /**
   * Share of the process's sockets for outbound connections: inbound ones from workers, users and
   * peers need the rest.
   */
  public static final double OUTBOUND_CONNECTION_SHARE = 0.2;

  private SettingsConstants() {}
}
