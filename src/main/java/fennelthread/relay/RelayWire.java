package fennelthread.relay;

import fennelthread.net.Answer;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerReport;

/**
 * What passes between controllers for workers that only one of them reaches: JSON over the peer
 * network.
 */
final class RelayWire {
  /** A worker's report on its way to the leader. */
  static final String REPORT = "/relay/report";

  /** A leader's commands on their way to a worker. */
  static final String COMMANDS = "/relay/commands";

  private RelayWire() {}

  /** A report; {@code epoch} is the one that the sender takes for the latest. */
  record Report(String from, long epoch, WorkerReport workerReport) {
    Fields write() {
      return Fields.create()
          .with("from", from)
          .with("epoch", epoch)
          .with("beat", workerReport.write());
    }

    static Report read(Fields f) throws WireException {
      return new Report(f.text("from"), f.count("epoch"), WorkerReport.read(f.inner("beat")));
    }
  }

  /**
   * Commands for the worker at {@code address}; {@code body} is what the worker is to get, {@code
   * spare} as of {@link fennelthread.net.Call}.
   */
  record Commands(long epoch, String address, long timeoutMs, boolean spare, Fields body) {
    Fields write() {
      return Fields.create()
          .with("epoch", epoch)
          .with("address", address)
          .with("timeout_ms", timeoutMs)
          .with("spare", spare)
          .with("body", body);
    }

    static Commands read(Fields f) throws WireException {
      return new Commands(
          f.count("epoch"),
          f.text("address"),
          f.count("timeout_ms"),
          f.optFlag("spare"),
          f.inner("body"));
    }
  }

  /**
   * What became of it: the other side's answer, or none, or that nothing of it was ever sent. Only
   * the last of these proves that it can't be executed any more.
   */
  record Outcome(int status, Fields body, boolean unsent) {
    static Outcome of(Answer answer) {
      try {
        return answer == null
            ? new Outcome(0, null, false)
            : new Outcome(answer.status(), answer.fields(), false);
      } catch (WireException e) {
        return new Outcome(answer.status(), null, false);
      }
    }

    Fields write() {
      return Fields.create().with("status", status).with("body", body).with("unsent", unsent);
    }

    static Outcome read(Fields f) throws WireException {
      return new Outcome(
          (int) f.count("status"), f.has("body") ? f.inner("body") : null, f.optFlag("unsent"));
    }

    /** The answer as if it had come directly, or null if there was none. */
    Answer answer() {
      return status == 0 || body == null ? null : Answer.of(status, Codec.CBOR, body);
    }
  }
}
