package fennelthread.wire;

/** What users are told of a job. */
public enum JobState {
  PENDING("pending"),
  RUNNING("running"),
  DONE("done"),
  CANCELLED("withdrawn");

  private final String wireName;

  JobState(String wireName) {
    this.wireName = wireName;
  }

  /** The name used in messages. */
  public String wireName() {
    return wireName;
  }

  /** True once nothing about the job can change any more. */
  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }

  /** Reads a state from a message. */
  public static JobState of(String text) throws WireException {
    for (JobState s : values()) {
      if (s.wireName.equals(text)) {
        return s;
      }
    }
    throw new WireException("estado", "is not a known state");
  }
}
