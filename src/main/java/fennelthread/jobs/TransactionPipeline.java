package fennelthread.jobs;

import fennelthread.state.RequestPriority;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;

/**
 * Sends batches of requests that users wait for, each batch as one transaction, with a bounded
 * number of transactions in flight. A batch whose result is overdue frees its slot, so that one
 * lost answer does not delay the others; its result may still arrive.
 */
final class TransactionPipeline<B extends TransactionPipeline.Batch> {
  /** The requests that share one transaction. */
  abstract static class Batch {
    final Txn txn = new Txn();
    private boolean holdsSlot = true;
  }

  /** Assembles the batches and handles their results. */
  interface Handler<B extends Batch> {
    /** True if requests wait for a transaction. */
    boolean hasWaiting();

    /** Takes the next requests out of the queue. */
    B nextBatch();

    /**
     * Called if a batch has no result by the time {@link StateClient#submitTxn} calls it overdue.
     */
    void onOverdue(B batch);

    /** Called with a batch's result, also after it was overdue. */
    void onResult(B batch, TxnResult result);
  }

  private final StateClient state;
  private final int maxInFlight;
  private final Handler<B> handler;
  private int transactionsInFlight;

  TransactionPipeline(StateClient state, int maxInFlight, Handler<B> handler) {
    this.state = state;
    this.maxInFlight = maxInFlight;
    this.handler = handler;
  }

  /** Sends the next batch if any request waits and a slot is free. */
  void sendNext() {
    if (transactionsInFlight >= maxInFlight || !handler.hasWaiting()) {
      return;
    }
    B batch = handler.nextBatch();
    transactionsInFlight++;
    state.submitTxn(
        RequestPriority.INTERACTIVE,
        batch.txn,
        () -> {
          releaseSlot(batch);
          handler.onOverdue(batch);
          sendNext();
        },
        result -> {
          releaseSlot(batch);
          handler.onResult(batch, result);
          sendNext();
        });
  }

  private void releaseSlot(Batch batch) {
    if (batch.holdsSlot) {
      batch.holdsSlot = false;
      transactionsInFlight--;
    }
  }
}
