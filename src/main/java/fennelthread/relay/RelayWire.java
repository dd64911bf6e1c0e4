package fennelthread.relay;

import fennelthread.net.Answer;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerReport;

/** The messages by which controllers relay reports and commands, as JSON on the peer network. */
final class RelayWire {
  /** The path of a worker's report that a follower relays to the leader. */
  static final String REPORT = "/relay/report";

  /** The path of a leader's commands that a follower relays to a worker. */
  static final String COMMANDS = "/relay/commands";

  private RelayWire() {}

  /**
   * A relayed report.
   *
   * @param from the relaying controller's name
   * @param epoch the epoch of the leader as the relaying controller knows it
   * @param workerReport the worker's report
   */
  record Report(String from, long epoch, WorkerReport workerReport) {
    Fields write() {
      return Fields.create()
          .with("from", from)
          .with("epoch", epoch)
          .with("beat", workerReport.write());
    }

    static Report read(Fields fields) throws WireException {
      return new Report(
          fields.text("from"), fields.count("epoch"), WorkerReport.read(fields.inner("beat")));
    }
  }

  /**
   * Commands to be relayed to a worker.
   *
   * @param epoch the epoch of the leader that sends them
   * @param address the worker's address, host and port
   * @param timeoutMs how long the relaying controller may wait for the worker's answer, ms
   * @param spare true for a probe, which may be dropped; as in {@link fennelthread.net.Call}
   * @param body the commands as the worker receives them
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

    static Commands read(Fields fields) throws WireException {
      return new Commands(
          fields.count("epoch"),
          fields.text("address"),
          fields.count("timeout_ms"),
          fields.optFlag("spare"),
          fields.inner("body"));
    }
  }

  /**
   * The result of a relayed request.
   *
   * @param status the HTTP status of the answer, 0 for no answer
   * @param body the body of the answer; null if there is none, or it can't be decoded
   * @param unsent true if the relaying controller sent nothing of the request to the worker; if it
   *     is false, the request may have been delivered even without an answer
   */
  record Outcome(int status, Fields body, boolean unsent) {
    /** The outcome of a request that was sent on; {@code answer} is null if there was none. */
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

    static Outcome read(Fields fields) throws WireException {
      return new Outcome(
          (int) fields.count("status"),
          fields.has("body") ? fields.inner("body") : null,
          fields.optFlag("unsent"));
    }

    /** The relayed answer; null if there was none or its body could not be decoded. */
    Answer answer() {
      return status == 0 || body == null ? null : Answer.of(status, Codec.CBOR, body);
    }
  }
}
