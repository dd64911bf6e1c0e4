package fennelthread.constants;

/** Constants of the event loop, connections and HTTP; each with its unit and its reason. */
public final class NetConstants {
  /** How often a process looks whether it stood still, ms. */
  public static final long STALL_CHECK_INTERVAL_MS = 250;

  /** Looks that are so far apart tell that it did, ms: a busy moment delays timers by less. */
  public static final long MIN_STALL_MS = 1_250;

  /** Longest time for which it then only listens, ms: whoever is silent for longer is. */
  public static final long MAX_LISTEN_AFTER_STALL_MS = 10_000;

  /** Idle connections kept per address. */
  public static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 4;

  /** How long an idle connection of ours is kept, ms: peers may drop theirs without a word. */
  public static final long IDLE_CONNECTION_TIMEOUT_MS = 20_000;

  /** Connection attempts to the state service, the cloud or a peer at a time. */
  public static final int MAX_CONNECTS_PER_ADDRESS = 4;

  /** Connection attempts to a worker at a time: dead ones hang, and many may die at once. */
  public static final int MAX_CONNECTS_PER_WORKER = 1;

  /** Sockets that attempts to one worker may hold, those that were given up included. */
  public static final int MAX_OPENING_SOCKETS_PER_WORKER = 2;

  /** How long a connection attempt counts as under way, ms: it is answered in a few if at all. */
  public static final long CONNECT_TIMEOUT_MS = 5_000;

  /**
   * Part of our connections that attempts for spare calls may hold: attempts at machines that are
   * cut off or hang end only when the system gives up, and hundreds of them once left none for
   * starts.
   */
  public static final double MAX_SPARE_CONNECT_SHARE = 0.35;

  /** Part of the process's sockets beyond which connections that nobody uses are closed. */
  public static final double FULL_SOCKET_SHARE = 0.9;

  /**
   * Part of the process's sockets beyond which a worker's connection is closed after each answer:
   * what is left is for users, peers and health checks, and for the workers that come next.
   */
  public static final double CROWDED_SOCKET_SHARE = 0.83;

  /**
   * A connection to us unused for so long is stale, ms: workers report and users poll more often.
   */
  public static final long STALE_CONNECTION_MS = 10_000;

  /** A connection to us without a request for so long is closed even if there is room, ms. */
  public static final int NO_REQUEST_TIMEOUT_MS = 90_000;

  /** Connections that may wait to be accepted: a whole fleet comes at once after a takeover. */
  public static final int ACCEPT_BACKLOG = 256;

  /** Largest answer that is read, bytes: watches have no limit, so this only guards memory. */
  public static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

  /** What the buffer of a response begins with, bytes: most answers are shorter. */
  public static final int INITIAL_RESPONSE_BUFFER_BYTES = 512;

  private NetConstants() {}
}
