package fennelthread.wire;

/** A message that is not in the form the protocol asks for; names the field at fault. */
public final class WireException extends Exception {
  private static final long serialVersionUID = 1L;
  private final String field;

  /** Creates the exception for {@code field}; {@code reason} is meant for people. */
  public WireException(String field, String reason) {
    super(field + ": " + reason, null, false, false);
    this.field = field;
  }

  /** The wire name of the field at fault. */
  public String field() {
    return field;
  }
}
