package fennelthread.constants;

/** Constants of the defaults of settings; each with its unit and its reason. */
public final class SettingsConstants {
  /** Shortest time between two rounds, ms: bounds writes; events in between share a round. */
  public static final long DEFAULT_ROUND_GAP_MS = 60;

  /**
   * Part of the process's sockets that our own connections may take: the workers' connections, the
   * users' and the peers' need the rest.
   */
  public static final double OUTBOUND_CONNECTION_SHARE = 0.2;

  private SettingsConstants() {}
}
