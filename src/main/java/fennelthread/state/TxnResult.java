package fennelthread.state;

import java.util.List;

/** What is known of a transaction after it was sent. */
public sealed interface TxnResult {
  /** Applied, at this revision. */
  record Applied(long revision) implements TxnResult {}

  /** Not applied: these keys have another revision. */
  record Conflict(List<String> failed) implements TxnResult {}

  /** Not applied, for another reason: an outage, the rate, a lost grant. */
  record Refused(String why) implements TxnResult {}

  /** Not applied and never will be as it is: malformed, which means too large. */
  record TooLarge() implements TxnResult {}

  /** May have been applied, or may still be. */
  record Unknown() implements TxnResult {}
}
