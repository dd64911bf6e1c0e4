package fennelthread.wire;

/** The state of a job that is reported to users. */
public enum JobState {
  PENDING("pending"),
  RUNNING("running"),
  DONE("done"),
  CANCELLED("withdrawn");

  private final String wireName;

  JobState(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in messages. */
  public String wireName() {
    return wireName;
  }

  /** Returns true if the job is done or cancelled; it then never changes again. */
  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }

  /** Returns the state with the given name in messages. */
  public static JobState of(String text) throws WireException {
    for (JobState state : values()) {
      if (state.wireName.equals(text)) {
        return state;
      }
    }
    throw new WireException("estado", "is not a known state");
  }
}
