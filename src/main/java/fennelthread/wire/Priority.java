package fennelthread.wire;

/** How urgent a job is, most urgent first. */
public enum Priority {
  CRITICAL("critical", 0),
  URGENT("urgent", 1),
  STANDARD("standard", 2),
  BEST_EFFORT("best_effort", 3);

  private final String wire;
  private final int rank;

  Priority(String wire, int rank) {
    this.wire = wire;
    this.rank = rank;
  }

  /** The name used in messages. */
  public String wire() {
    return wire;
  }

  /** How many priorities are more urgent. */
  public int rank() {
    return rank;
  }

  static Priority of(String field, String text) throws WireException {
    for (Priority p : values()) {
      if (p.wire.equals(text)) {
        return p;
      }
    }
    throw new WireException(field, "is not a known priority");
  }
}
