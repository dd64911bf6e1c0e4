package fennelthread.wire;

/** How urgent a job is, most urgent first. */
public enum Priority {
  CRITICAL("critical", 0),
  URGENT("urgent", 1),
  STANDARD("standard", 2),
  BEST_EFFORT("best_effort", 3);

  private final String wireName;
  private final int rank;

  Priority(String wireName, int rank) {
    this.wireName = wireName;
    this.rank = rank;
  }

  /** The name used in messages. */
  public String wireName() {
    return wireName;
  }

  /** How many priorities are more urgent. */
  public int rank() {
    return rank;
  }

  static Priority of(String field, String text) throws WireException {
    for (Priority p : values()) {
      if (p.wireName.equals(text)) {
        return p;
      }
    }
    throw new WireException(field, "is not a known priority");
  }
}
