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
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * How a leader reaches workers: directly, or through a peer while it does not hear them itself. A
 * command through a peer is a command that takes longer: without an answer it counts as one that
 * may still be executed, and it is the worker that refuses what comes under an old token.
 */
public final class CommandSender implements CommandTransport {

  /** Answers reports that peers pass on. */
  @FunctionalInterface
  public interface Reports {
    /**
     * Answers one under the given epoch as if it had come directly; null if we are not entitled to.
     */
    Answer answer(WorkerReport report, long epoch, String from);
  }

  /** By whom a worker's last report was passed on. */
  private record Via(String member, long atMs) {}

  private final EventLoop eventLoop;
  private final Settings settings;
  private final PeerHeartbeats peers;
  private final WorkerReachability hearing;
  private final LongSupplier highestEpoch;
  private final Map<String, Via> vias = new HashMap<>();
  private long epoch;
  private long carried;

  /**
   * Creates a courier.
   *
   * @param highestEpoch the highest epoch heard of: commands of an older one are not passed on
   */
  public CommandSender(
      EventLoop eventLoop,
      Settings settings,
      PeerHeartbeats peers,
      WorkerReachability hearing,
      LongSupplier highestEpoch) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.peers = peers;
    this.hearing = hearing;
    this.highestEpoch = highestEpoch;
  }

  /** A term of ours begins. */
  public void beginTerm(long newEpoch) {
    epoch = newEpoch;
    vias.clear();
  }

  /** A worker reported to us directly. */
  public void onDirectReport(String machine) {
    vias.remove(machine);
  }

  /** How many commands peers were asked to pass on, since the start of the process. */
  public long carried() {
    return carried;
  }

  @Override
  public void send(
      Machine m,
      String address,
      Call call,
      long timeoutMs,
      Consumer<Answer> done,
      EventLoop.Unsent unsent) {
    String peer = peer(m);
    if (peer != null) {
      // A question does no harm if it comes again; of anything else a peer's word proves nothing.
      Runnable notPassedOn = call.spare() ? () -> unsent.over(false) : () -> done.accept(null);
      long relayedMs = timeoutMs + RelayConstants.RELAY_HOP_MS;
      around(peer, address, call, relayedMs, done, unsent, notPassedOn);
    } else if (call.spare() && peers.bestRelay() != null) {
      new Question(m, address, call, timeoutMs, done, unsent).ask();
    } else {
      eventLoop.call(address, call, timeoutMs, done, unsent);
    }
  }

  /**
   * A question that is put to a worker directly, and through a peer too if its answer stays away: a
   * machine that only we can't reach is not to be taken for dead.
   */
  private final class Question {
    private final Machine machine;
    private final String address;
    private final Call call;
    private final long timeoutMs;
    private final Consumer<Answer> done;
    private final EventLoop.Unsent unsent;
    private final long askedAtMs = eventLoop.nowMs();
    private int open = 1;
    private boolean over;
    private boolean sent;
    private boolean tried;

    Question(
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

    void ask() {
      eventLoop.call(address, call, timeoutMs, this::answered, this::notSent);
      eventLoop.after(
          Math.min(RelayConstants.HEDGE_DELAY_MS, timeoutMs / 2),
          () -> {
            String peer = over ? null : peers.bestRelay();
            if (peer != null) {
              open++;
              around(
                  peer,
                  address,
                  call,
                  timeoutMs - (eventLoop.nowMs() - askedAtMs),
                  answer -> {
                    if (answer != null && !over) {
                      vias.put(machine.name(), new Via(peer, eventLoop.nowMs()));
                    }
                    answered(answer);
                  },
                  this::notSent,
                  () -> notSent(false));
            }
          });
    }

    private void answered(Answer answer) {
      sent = true;
      end(answer);
    }

    private void notSent(boolean wasTried) {
      tried |= wasTried;
      end(null);
    }

    private void end(Answer answer) {
      open--;
      if (over || (answer == null && open > 0)) {
        return;
      }
      over = true;
      if (answer == null && !sent) {
        unsent.over(tried);
      } else {
        done.accept(answer);
      }
    }
  }

  /**
   * Sends a request through a peer; {@code timeoutMs} is for all of it.
   *
   * @param unsent called if nothing left this process
   * @param notPassedOn called if the peer says that it found no connection to the worker: what we
   *     asked of it may reach it a second time, and then go through
   */
  private void around(
      String peer,
      String address,
      Call call,
      long timeoutMs,
      Consumer<Answer> done,
      EventLoop.Unsent unsent,
      Runnable notPassedOn) {
    Fields body;
    try {
      body = call.codec().decode(call.body());
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
    carried++;
    peers.call(
        peer,
        RelayWire.COMMANDS,
        new RelayWire.Commands(
                epoch, address, timeoutMs - RelayConstants.RELAY_HOP_MS / 2, call.spare(), body)
            .write(),
        timeoutMs,
        answer -> {
          RelayWire.Outcome outcome = Relay.outcome(answer);
          if (outcome != null && outcome.unsent()) {
            notPassedOn.run();
          } else {
            done.accept(outcome == null ? null : outcome.answer());
          }
        },
        tried -> unsent.over(false));
  }

  /** The peer to go through, or null for the onDirectReport way. */
  private String peer(Machine m) {
    Via via = vias.get(m.name());
    if (via != null) {
      if (eventLoop.nowMs() - via.atMs
              <= settings.workers().reportMs() * RelayConstants.MAX_MISSED_REPORTS
          && peers.canRelayThrough(via.member)) {
        return via.member;
      }
      vias.remove(m.name());
    }
    return hearing.areWorkersUnreachable() ? peers.bestRelay() : null;
  }

  /**
   * What peers ask for: reports for us to answer, commands for us to pass on.
   *
   * @param reports answers what peers pass on
   */
  public Service peerService(Reports reports) {
    return (request, reply) -> {
      try {
        if (request.path().equals(RelayWire.REPORT)) {
          report(request, reports, reply);
        } else {
          commands(request, reply);
        }
      } catch (WireException e) {
        reply.accept(Answer.of(400, Codec.JSON, Fields.create().with("error", e.getMessage())));
      }
    };
  }

  private void report(Request request, Reports reports, Consumer<Answer> reply)
      throws WireException {
    RelayWire.Report report = RelayWire.Report.read(Codec.JSON.decode(request.body()));
    Answer answer = reports.answer(report.workerReport(), report.epoch(), report.from());
    if (answer != null && answer.status() == 200) {
      vias.put(report.workerReport().machine(), new Via(report.from(), eventLoop.nowMs()));
    }
    reply.accept(
        Answer.of(
            200,
            Codec.JSON,
            RelayWire.Outcome.of(answer == null ? Relay.tryNext() : answer).write()));
  }

  private void commands(Request request, Consumer<Answer> reply) throws WireException {
    RelayWire.Commands commands = RelayWire.Commands.read(Codec.JSON.decode(request.body()));
    if (commands.epoch() < highestEpoch.getAsLong()) {
      // Another leads by now: never sent, so nothing of it can be executed.
      reply.accept(Answer.of(200, Codec.JSON, new RelayWire.Outcome(0, null, true).write()));
      return;
    }
    Call call = Call.post("/commands", Codec.CBOR, commands.body());
    eventLoop.call(
        commands.address(),
        commands.spare() ? call.asSpare() : call,
        Math.min(commands.timeoutMs(), FleetConstants.COMMAND_TIMEOUT_MS),
        answer -> reply.accept(Answer.of(200, Codec.JSON, RelayWire.Outcome.of(answer).write())),
        tried ->
            reply.accept(Answer.of(200, Codec.JSON, new RelayWire.Outcome(0, null, true).write())));
  }
}
