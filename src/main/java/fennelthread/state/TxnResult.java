package fennelthread.state;

import java.util.List;

/** The result of a transaction, as far as it is known. */
public sealed interface TxnResult {
  /** Applied, at this revision. */
  record Applied(long revision) implements TxnResult {}

  /**
   * Not applied: these keys have revisions other than the conditions require. The list is empty if
   * the answer names none.
   */
  record Conflict(List<String> failedKeys) implements TxnResult {}

  /**
   * Not applied: an outage, a rate limit, too many requests queued in this controller, or a
   * conflict whose answer can't be decoded.
   */
  record Refused(String reason) implements TxnResult {}

  /**
   * Not applied, and never will be unchanged: rejected as malformed, which means that it is too
   * large or bound to a lease that has expired.
   */
  record TooLarge() implements TxnResult {}

  /**
   * No answer, or none that can be decoded: the transaction may have been applied, or may still be.
   */
  record Unknown() implements TxnResult {}
}
