package fennelthread.wire;

/** The priority of a job, most urgent first. */
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

  /** Returns the name used in messages. */
  public String wireName() {
    return wireName;
  }

  /** Returns the number of more urgent priorities: 0 for the most urgent. */
  public int rank() {
    return rank;
  }

  static Priority of(String field, String text) throws WireException {
    for (Priority priority : values()) {
      if (priority.wireName.equals(text)) {
        return priority;
      }
    }
    throw new WireException(field, "is not a known priority");
  }
}
