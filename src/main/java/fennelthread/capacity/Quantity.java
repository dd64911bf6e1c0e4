package fennelthread.capacity;

/** What is measured of a role. */
public enum Quantity {
  /** Live objects, by walking the graph of the process's objects. */
  HEAP("heap", "bytes"),
  /** Values stored at the state service, in their JSON form. */
  STORED("stored", "bytes"),
  /** Requests served and sent. */
  MESSAGES("messages", "1/s"),
  /** Bodies, paths and headers of those requests and their responses. */
  TRAFFIC("traffic", "bytes/s"),
  /** Processor time of the controller's thread without sockets and HTTP. */
  CPU_TIME("processor", "ms/s"),
  /** Requests at the state service. */
  STATE_REQUESTS("state-requests", "1/s"),
  /** Puts and deletes at the state service. */
  STATE_CHANGES("state-changes", "1/s"),
  /** Time without a start. */
  START_GAP("gap", "ms");

  private final String id;
  private final String unit;

  Quantity(String id, String unit) {
    this.id = id;
    this.unit = unit;
  }

  /** Its name in files. */
  public String id() {
    return id;
  }

  /** Its unit. */
  public String unit() {
    return unit;
  }

  /**
   * The quantity of that name.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static Quantity of(String id) {
    for (Quantity q : values()) {
      if (q.id.equals(id)) {
        return q;
      }
    }
    throw new IllegalArgumentException("no quantity is called " + id);
  }
}
