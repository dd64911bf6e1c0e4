package fennelthread.wire;

/** Thrown if a message violates the protocol; names the field at fault. Has no stack trace. */
public final class WireException extends Exception {
  private static final long serialVersionUID = 1L;
  private final String field;

  /**
   * Creates the exception.
   *
   * @param field the wire name of the field at fault
   * @param reason what is wrong with it, as the rest of a sentence that begins with the field
   */
  public WireException(String field, String reason) {
    super(field + ": " + reason, null, false, false);
    this.field = field;
  }

  /** Returns the wire name of the field at fault. */
  public String field() {
    return field;
  }
}
