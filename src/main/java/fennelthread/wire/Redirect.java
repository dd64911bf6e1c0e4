package fennelthread.wire;

/**
 * The answer that sends a worker to another controller.
 *
 * @param member the controller to report to; null if the sender knows none
 */
public record Redirect(String member) {

  /** Writes the redirect; without a member the worker tries the next controller on its list. */
  public Fields write() {
    Fields body = Fields.create();
    return member == null ? body : body.with("informar_a", member);
  }
}
