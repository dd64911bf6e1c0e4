package fennelthread.capacity;

/** A resource use or rate that is measured for a role. */
public enum Quantity {
  /** Size of the live objects, found by walking the process's object graph. */
  HEAP("heap", "bytes"),
  /** Size of the values stored in the state service, in their JSON form. */
  STORED("stored", "bytes"),
  /** Rate of the requests that the role serves and sends. */
  MESSAGES("messages", "1/s"),
  /** Bodies, paths and headers of the {@link #MESSAGES} and their responses. */
  TRAFFIC("traffic", "bytes/s"),
  /**
   * CPU time of the controller's thread. Sockets and HTTP count under the cause {@code request}
   * only.
   */
  CPU_TIME("processor", "ms/s"),
  /** Rate of requests that the state service receives. */
  STATE_REQUESTS("state-requests", "1/s"),
  /** Rate of puts and deletes that the state service applies. */
  STATE_CHANGES("state-changes", "1/s"),
  /** Time in which no task starts, after the end of a leader. */
  START_GAP("gap", "ms");

  private final String id;
  private final String unit;

  Quantity(String id, String unit) {
    this.id = id;
    this.unit = unit;
  }

  /** Returns the name used in JSON files and tables. */
  public String id() {
    return id;
  }

  /** Returns the unit as the tables print it. */
  public String unit() {
    return unit;
  }

  /**
   * Returns the quantity with an {@link #id}.
   *
   * @throws IllegalArgumentException if no quantity has that id
   */
  public static Quantity of(String id) {
    for (Quantity quantity : values()) {
      if (quantity.id.equals(id)) {
        return quantity;
      }
    }
    throw new IllegalArgumentException("unknown quantity: id=" + id);
  }
}
