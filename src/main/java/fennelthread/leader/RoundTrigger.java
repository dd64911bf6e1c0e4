package fennelthread.leader;

/** Requests a scheduling round because something has changed that it may depend on. */
@FunctionalInterface
interface RoundTrigger {
  /** Requests a round; requests that come before it begins share it. */
  void requestRound();
}
