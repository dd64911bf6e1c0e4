package fennelthread.leader;

/** Requests a scheduling round after a change that may affect its outcome. */
@FunctionalInterface
interface RoundTrigger {
  /** Requests a round; all requests before it begins are served by the same round. */
  void requestRound();
}
