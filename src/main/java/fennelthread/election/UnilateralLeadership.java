package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.RequestPriority;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.Fields;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's word in the state service that it does without its peers' promises. Every takeover
 * is conditional on what the key held when the peers agreed to it: once the word is written none
 * that was agreed on before can be applied, and none is agreed on while it stands.
 */
final class UnilateralLeadership {
  private static final Logger log = LoggerFactory.getLogger(UnilateralLeadership.class);

  /** Where the word stands. Only ON is a reason to start anything. */
  enum Phase {
    /** Not written, or about to be cancelled. */
    OFF,
    /** Being written; without an answer it may be written or not. */
    TURNING_ON,
    /** Written. */
    ON,
    /** Being cancelled: from the moment that was sent, it counts for nothing. */
    TURNING_OFF
  }

  private final EventLoop eventLoop;
  private final StateClient state;
  private Phase phase = Phase.OFF;
  private long term;
  private long triedAtMs = Long.MIN_VALUE / 2;

  UnilateralLeadership(EventLoop eventLoop, StateClient state) {
    this.eventLoop = eventLoop;
    this.state = state;
  }

  /** A term begins: what earlier ones wrote names another epoch. */
  void begin() {
    term++;
    phase = Phase.OFF;
    triedAtMs = Long.MIN_VALUE / 2;
  }

  /** True if the word is written. */
  boolean isOn() {
    return phase == Phase.ON;
  }

  /**
   * Writes the word, cancels it, or, if it is cancelled already, writes that anew: peers that may
   * have agreed to a takeover are then free to promise again. Each is conditional on the one
   * before, since one without an answer may be applied after the next.
   *
   * @param revision the key's revision, as far as our copy of the state goes
   * @param fenced gives a transaction of this term
   * @param applied told of what was applied
   */
  void turn(
      boolean on,
      long epoch,
      long revision,
      Supplier<Txn> fenced,
      BiConsumer<Txn, TxnResult.Applied> applied) {
    boolean possible = phase == Phase.OFF || (phase == Phase.ON && !on);
    if (!possible || eventLoop.nowMs() - triedAtMs < ElectionConstants.SOLO_RETRY_MS) {
      return;
    }
    triedAtMs = eventLoop.nowMs();
    long of = term;
    moveTo(on ? Phase.TURNING_ON : Phase.TURNING_OFF, epoch);
    Txn txn =
        fenced
            .get()
            .when(Keys.UNILATERAL_LEADERSHIP, revision)
            .write(Keys.UNILATERAL_LEADERSHIP, Fields.create().with("epoch", on ? epoch : 0L));
    state.txn(
        RequestPriority.INTERACTIVE,
        txn,
        result -> {
          if (of != term) {
            return;
          }
          boolean good = result instanceof TxnResult.Applied;
          moveTo(on && good ? Phase.ON : Phase.OFF, epoch);
          if (result instanceof TxnResult.Applied a) {
            applied.accept(txn, a);
          }
        });
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next, long epoch) {
    if (next == Phase.ON || phase == Phase.ON) {
      log.info("epoch {}: alone {} -> {}", epoch, phase, next);
    }
    phase = next;
  }
}
