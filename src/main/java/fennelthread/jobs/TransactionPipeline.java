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
    boolean hasWaitingRequests();

    /** Takes the next requests out of the queue. */
    B takeNextBatch();

    /**
     * Called if the transaction of a batch is overdue, as defined by {@link StateClient#submitTxn}.
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
  void sendNextBatch() {
    if (transactionsInFlight >= maxInFlight || !handler.hasWaitingRequests()) {
      return;
    }
    B batch = handler.takeNextBatch();
    transactionsInFlight++;
    state.submitTxn(
        RequestPriority.INTERACTIVE,
        batch.txn,
        () -> {
          releaseSlot(batch);
          handler.onOverdue(batch);
          sendNextBatch();
        },
        result -> {
          releaseSlot(batch);
          handler.onResult(batch, result);
          sendNextBatch();
        });
  }

  private void releaseSlot(Batch batch) {
    if (batch.holdsSlot) {
      batch.holdsSlot = false;
      transactionsInFlight--;
    }
  }
}
