package fennelthread.wire;

/** How urgent a job is, most urgent first. */
public enum Priority {
  CRITICAL("critical"),
  URGENT("urgent"),
  STANDARD("standard"),
  BEST_EFFORT("best_effort");

  private final String wire;

  Priority(String wire) {
    this.wire = wire;
  }

  /** The name used in messages. */
  public String wire() {
    return wire;
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
