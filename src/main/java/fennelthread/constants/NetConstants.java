package fennelthread.constants;

/** The event loop, connections and HTTP. */
public final class NetConstants {
  /** Interval at which a process checks whether it was stalled, ms. */
  public static final long STALL_CHECK_INTERVAL_MS = 250;

  /**
   * Time between two checks beyond which the process counts as stalled, ms: under load timers are
   * delayed by less.
   */
  public static final long MIN_STALL_MS = 1_250;

  /**
   * Longest time after a stall for which the silence of other processes is disregarded, ms: one
   * that stays silent for longer has failed or is cut off.
   */
  public static final long MAX_CATCH_UP_AFTER_STALL_MS = 10_000;

  /** Most idle outbound connections kept for each address. */
  public static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 4;

  /**
   * Age beyond which an idle outbound connection is not reused, ms: the other side may have dropped
   * it silently.
   */
  public static final long IDLE_CONNECTION_TIMEOUT_MS = 20_000;

  /** Most connection attempts in flight to the state service, the cloud or a peer. */
  public static final int MAX_CONNECTS_PER_ADDRESS = 4;

  /**
   * Most connection attempts in flight to a worker: those to dead workers hang, and many may die at
   * once.
   */
  public static final int MAX_CONNECTS_PER_WORKER = 1;

  /**
   * Most sockets held by attempts to one worker, including attempts that no longer count as in
   * flight.
   */
  public static final int MAX_OPENING_SOCKETS_PER_WORKER = 2;

  /**
   * Time for which a connection attempt counts as in flight, ms: a reachable peer answers it within
   * a few milliseconds.
   */
  public static final long CONNECT_TIMEOUT_MS = 5_000;

  /**
   * Share of the outbound connections that attempts for spare calls, such as probes, may hold.
   * Attempts to machines that are cut off or hang end only when the system gives up, and without
   * this bound hundreds of them leave no connection for starts.
   */
  public static final double MAX_SPARE_CONNECT_SHARE = 0.35;

  /** Share of the process's sockets beyond which stale inbound connections are closed. */
  public static final double FULL_SOCKET_SHARE = 0.9;

  /**
   * Share of the process's sockets beyond which a worker's connection is closed after each answer:
   * the rest is for users, peers, health checks and further workers.
   */
  public static final double CROWDED_SOCKET_SHARE = 0.83;

  /**
   * Time without use from which an inbound connection is stale, ms: workers report and users poll
   * more often.
   */
  public static final long STALE_CONNECTION_MS = 10_000;

  /**
   * Time without a request after which an inbound connection is closed even if there is room, ms.
   */
  public static final int NO_REQUEST_TIMEOUT_MS = 90_000;

  /** Most connections that wait to be accepted: after a takeover a whole fleet connects at once. */
  public static final int ACCEPT_BACKLOG = 256;

  /** Largest answer that is read, bytes: watches have no limit, so this only bounds memory. */
  public static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

  /** Initial size of the buffer for a body that is read, bytes: most bodies are shorter. */
  public static final int INITIAL_BODY_BUFFER_BYTES = 512;

  /** Longest time for which the rest of a refused body is read and dropped, ms. */
  public static final int BODY_DRAIN_TIMEOUT_MS = 2_000;

  /** Most bytes of a refused body that are read and dropped. */
  public static final int MAX_DRAINED_BODY_BYTES = 1024 * 1024;

  private NetConstants() {}
}
