package fennelthread.relay;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.fleet.CommandTransport;
import fennelthread.fleet.Machine;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerReport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Sends a leader's commands and probes to workers: directly, or through a peer for workers whose
 * reports do not reach the leader directly. A probe that is slow to be answered goes both ways. A
 * relayed command that gets no answer may still be executed; the worker itself refuses commands
 * under an outdated fencing token. Also serves the peers' relay requests. Used on the event loop's
 * thread only.
 */
public final class CommandSender implements CommandTransport {

  /** Answers workers' reports that peers relay. */
  @FunctionalInterface
  public interface RelayedReportHandler {
    /**
     * Answers a report as if the worker had sent it here.
     *
     * @param epoch the epoch that the relaying peer takes this controller to lead
     * @param peer the relaying peer
     * @return null if this controller must not answer
     */
    Answer answer(WorkerReport report, long epoch, String peer);
  }

  private final EventLoop eventLoop;
  private final PeerHeartbeats peers;
  private final WorkerReachability reachability;
  private final LongSupplier highestEpoch;
  private final RelayRoutes routes;
  private long epoch;
  private long relayedCommands;

  /**
   * Creates a sender without relay routes.
   *
   * @param reachability whether workers' reports reach this leader directly
   * @param highestEpoch the highest epoch known here; a peer's commands are not relayed if their
   *     epoch is older
   */
  public CommandSender(
      EventLoop eventLoop,
      Settings settings,
      PeerHeartbeats peers,
      WorkerReachability reachability,
      LongSupplier highestEpoch) {
    this.eventLoop = eventLoop;
    this.peers = peers;
    this.reachability = reachability;
    this.highestEpoch = highestEpoch;
    this.routes =
        new RelayRoutes((long) (settings.workers().reportMs() * RelayConstants.MAX_MISSED_REPORTS));
  }

  /** Starts a term of this controller as leader of {@code newEpoch}; forgets all relay routes. */
  public void beginTerm(long newEpoch) {
    epoch = newEpoch;
    routes.clear();
  }

  /** Records that a worker reported to this leader directly: commands to it need no peer. */
  public void onDirectReport(String machine) {
    routes.forget(machine);
  }

  /** The number of commands and probes sent through peers since the start of the process. */
  public long relayedCommands() {
    return relayedCommands;
  }

  @Override
  public void send(
      Machine machine,
      String address,
      Call call,
      long timeoutMs,
      Consumer<Answer> done,
      EventLoop.Unsent unsent) {
    String peer = choosePeer(machine);
    if (peer != null) {
      // If the peer answers that it sent nothing, a probe counts as unsent, because it is harmless
      // if it arrives twice. For a command that answer proves nothing: a duplicate of the relay
      // request may still reach the peer, which then sends the command.
      Runnable onNotRelayed = call.spare() ? () -> unsent.over(false) : () -> done.accept(null);
      long relayTimeoutMs = timeoutMs + RelayConstants.RELAY_HOP_MS;
      sendThroughPeer(peer, address, call, relayTimeoutMs, done, unsent, onNotRelayed);
    } else if (call.spare() && peers.bestRelay() != null) {
      new HedgedProbe(machine, address, call, timeoutMs, done, unsent).send();
    } else {
      eventLoop.call(address, call, timeoutMs, done, unsent);
    }
  }

  /**
   * A probe that is sent to a worker directly, and through a peer too if its answer is slow: a
   * machine that only this leader cannot reach must not count as failed.
   */
  private final class HedgedProbe {
    private final Machine machine;
    private final String address;
    private final Call call;
    private final long timeoutMs;
    private final Consumer<Answer> done;
    private final EventLoop.Unsent unsent;
    private final long startedAtMs = eventLoop.nowMs();
    private int attemptsInFlight = 1;
    private boolean isFinished;
    private boolean mayHaveBeenSent;
    private boolean wasTried;

    HedgedProbe(
        Machine machine,
        String address,
        Call call,
        long timeoutMs,
        Consumer<Answer> done,
        EventLoop.Unsent unsent) {
      this.machine = machine;
      this.address = address;
      this.call = call;
      this.timeoutMs = timeoutMs;
      this.done = done;
      this.unsent = unsent;
    }

    void send() {
      eventLoop.call(address, call, timeoutMs, this::onAttemptDone, this::onAttemptUnsent);
      eventLoop.after(
          Math.min(RelayConstants.HEDGE_DELAY_MS, timeoutMs / 2),
          () -> {
            String peer = isFinished ? null : peers.bestRelay();
            if (peer != null) {
              attemptsInFlight++;
              sendThroughPeer(
                  peer,
                  address,
                  call,
                  timeoutMs - (eventLoop.nowMs() - startedAtMs),
                  answer -> {
                    if (answer != null && !isFinished) {
                      routes.record(machine.name(), peer, eventLoop.nowMs());
                    }
                    onAttemptDone(answer);
                  },
                  this::onAttemptUnsent,
                  () -> onAttemptUnsent(false));
            }
          });
    }

    /** Handles the answer to an attempt that was or may have been sent; null if there was none. */
    private void onAttemptDone(Answer answer) {
      mayHaveBeenSent = true;
      endAttempt(answer);
    }

    private void onAttemptUnsent(boolean wasAttemptTried) {
      wasTried |= wasAttemptTried;
      endAttempt(null);
    }

    /** The first answer finishes the probe; without one, the end of the last attempt does. */
    private void endAttempt(Answer answer) {
      attemptsInFlight--;
      if (isFinished || (answer == null && attemptsInFlight > 0)) {
        return;
      }
      isFinished = true;
      if (answer == null && !mayHaveBeenSent) {
        unsent.over(wasTried);
      } else {
        done.accept(answer);
      }
    }
  }

  /**
   * Sends a request to a worker through a peer.
   *
   * @param timeoutMs the timeout of the whole exchange with the peer, ms
   * @param unsent called if nothing of the request left this process
   * @param onNotRelayed called if the peer says that it sent nothing to the worker; a duplicate of
   *     the relay request may still reach the peer, which then sends the request
   */
  private void sendThroughPeer(
      String peer,
      String address,
      Call call,
      long timeoutMs,
      Consumer<Answer> done,
      EventLoop.Unsent unsent,
      Runnable onNotRelayed) {
    Fields body;
    try {
      body = call.codec().decode(call.body());
    } catch (WireException e) {
      throw new IllegalStateException(
          "cannot decode the body of the command to relay to " + address, e);
    }
    relayedCommands++;
    peers.call(
        peer,
        RelayWire.COMMANDS,
        new RelayWire.Commands(
                epoch, address, timeoutMs - RelayConstants.RELAY_HOP_MS / 2, call.spare(), body)
            .write(),
        timeoutMs,
        answer -> {
          RelayWire.Outcome outcome = Relay.readOutcome(answer);
          if (outcome != null && outcome.unsent()) {
            onNotRelayed.run();
          } else {
            done.accept(outcome == null ? null : outcome.answer());
          }
        },
        // A failure to reach the peer says nothing about the worker.
        wasTried -> unsent.over(false));
  }

  /** The peer through which to reach a worker, or null to reach it directly. */
  private String choosePeer(Machine machine) {
    String peer = routes.peerOf(machine.name(), eventLoop.nowMs());
    if (peer != null && peers.canRelayThrough(peer)) {
      return peer;
    }
    routes.forget(machine.name());
    return reachability.areWorkersUnreachable() ? peers.bestRelay() : null;
  }

  /**
   * The service for peers' relay requests: reports for this leader to answer, and another leader's
   * commands for this controller to send to a worker.
   *
   * @param reports answers the relayed reports
   */
  public Service peerService(RelayedReportHandler reports) {
    return (request, reply) -> {
      try {
        if (request.path().equals(RelayWire.REPORT)) {
          handleReport(request, reports, reply);
        } else {
          handleCommands(request, reply);
        }
      } catch (WireException e) {
        reply.accept(Answer.of(400, Codec.JSON, Fields.create().with("error", e.getMessage())));
      }
    };
  }

  private void handleReport(Request request, RelayedReportHandler reports, Consumer<Answer> reply)
      throws WireException {
    RelayWire.Report report = RelayWire.Report.read(Codec.JSON.decode(request.body()));
    Answer answer = reports.answer(report.workerReport(), report.epoch(), report.from());
    if (answer != null && answer.status() == 200) {
      routes.record(report.workerReport().machine(), report.from(), eventLoop.nowMs());
    }
    reply.accept(
        Answer.of(
            200,
            Codec.JSON,
            RelayWire.Outcome.of(answer == null ? Relay.redirectToNext() : answer).write()));
  }

  private void handleCommands(Request request, Consumer<Answer> reply) throws WireException {
    RelayWire.Commands commands = RelayWire.Commands.read(Codec.JSON.decode(request.body()));
    if (commands.epoch() < highestEpoch.getAsLong()) {
      // The commands are of an outdated leader: they are not sent, so nothing can be executed.
      reply.accept(Answer.of(200, Codec.JSON, new RelayWire.Outcome(0, null, true).write()));
      return;
    }
    Call call = Call.post("/commands", Codec.CBOR, commands.body());
    eventLoop.call(
        commands.address(),
        commands.spare() ? call.asSpare() : call,
        Math.min(commands.timeoutMs(), FleetConstants.COMMAND_TIMEOUT_MS),
        answer -> reply.accept(Answer.of(200, Codec.JSON, RelayWire.Outcome.of(answer).write())),
        wasTried ->
            reply.accept(Answer.of(200, Codec.JSON, new RelayWire.Outcome(0, null, true).write())));
  }
}
