package fennelthread.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.RelayConstants;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.fleet.WorkerLink;
import fennelthread.fleet.ZoneHealth;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.net.Request;
import fennelthread.net.StallDetector;
import fennelthread.peers.HeartbeatSender;
import fennelthread.peers.LocalStatus;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerCommand;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a leader may conclude from the outcomes of commands and probes that a peer relays. */
class CommandSenderTest {
  private record SentRequest(
      String address, Call call, Consumer<Answer> done, EventLoop.Unsent unsent) {}

  private long nowMs = 100_000;
  private final List<SentRequest> sent = new ArrayList<>();
  private final List<Runnable> timers = new ArrayList<>();
  private final EventLoop eventLoop =
      new EventLoop() {
        @Override
        public long nowMs() {
          return nowMs;
        }

        @Override
        public long wallMs() {
          return nowMs;
        }

        @Override
        public Cancellable after(long delayMs, Runnable task) {
          timers.add(task);
          return () -> {};
        }

        @Override
        public RandomGenerator random() {
          return new SplittableRandom(1);
        }

        @Override
        public void call(
            String address, Call call, long timeoutMs, Consumer<Answer> done, Unsent unsent) {
          sent.add(new SentRequest(address, call, done, unsent));
        }
      };
  private final Settings settings =
      new Settings(
          "nodo-0",
          "norte",
          "10.0.0.1:8080",
          "10.0.0.1:8081",
          List.of(new Settings.Peer("nodo-1", "here", "10.0.0.2:8081")),
          "10.2.0.2:8443",
          "10.2.0.1:2379",
          List.of("norte"),
          Map.of(),
          List.of(),
          new Settings.WorkerTiming(1_500, 10_000, 30_000),
          new Settings.StateLimits(500, 200, 8_192, 8),
          new Settings.CloudLimits(5, 2_000),
          500);
  private final PeerHeartbeats peers =
      new PeerHeartbeats(
          eventLoop,
          settings,
          new LocalStatus() {
            @Override
            public HeartbeatSender sender() {
              return new HeartbeatSender("nodo-0", "a", 7, true, 0, 0, false);
            }

            @Override
            public Map<String, String> workerAddresses() {
              return Map.of();
            }

            @Override
            public void onHeartbeat(PeerHeartbeat heartbeat) {}
          });
  private final WorkerReachability reachability = new WorkerReachability(1_500);
  private final CommandSender commandSender =
      new CommandSender(eventLoop, settings, peers, reachability, () -> 7);
  private final Machine machine =
      new Fleet(
              eventLoop,
              settings,
              7,
              null,
              () -> 0,
              Map::of,
              ZoneHealth.ALWAYS_HEALTHY,
              new WorkerLink(commandSender, null, new StallDetector(eventLoop)))
          .getOrAddMachine("n-1", "10.1.0.1:9000");
  private final List<Object> outcomes = new ArrayList<>();

  @BeforeEach
  void connectPeerAndMakeWorkersUnreachable() {
    byte[] heartbeat =
        ("{\"member\":\"nodo-1\",\"incarnation\":\"b\",\"epoch\":7,\"leading\":false,"
                + "\"served_ago_ms\":1,\"beats_heard\":3,\"chains\":true,\"relays\":true}")
            .getBytes(StandardCharsets.UTF_8);
    peers.handle(new Request("POST", "/hail", heartbeat), a -> {});
    commandSender.beginTerm(7);
    reachability.beginTerm(nowMs - 100_000);
    for (long t = nowMs - 10_000; t <= nowMs; t += RelayConstants.CHECK_INTERVAL_MS) {
      reachability.check(t, 500);
    }
    assertTrue(reachability.areWorkersUnreachable());
  }

  private SentRequest send(boolean spare) {
    Call call = Call.post("/commands", Codec.CBOR, WorkerCommand.write(7L << 20, 1, List.of()));
    commandSender.send(
        machine,
        machine.address(),
        spare ? call.asSpare() : call,
        2_500,
        answer -> outcomes.add(answer == null ? "none" : answer.status()),
        tried -> outcomes.add("unsent"));
    return sent.get(sent.size() - 1);
  }

  private static Answer outcome(RelayWire.Outcome outcome) {
    return Answer.of(200, Codec.JSON, outcome.write());
  }

  /**
   * Without an answer of the peer, the worker may have received the command. The peer's answer that
   * it sent nothing is no proof either, since a duplicate of the request may still reach the peer.
   * Only a request that never left this process counts as unsent.
   */
  @Test
  void relayedCommandCountsAsUnsentOnlyIfItNeverLeftThisProcess() {
    send(false).done.accept(null);
    send(false).done.accept(outcome(new RelayWire.Outcome(0, null, false)));
    send(false).done.accept(Answer.error(404, "unknown path"));
    send(false).done.accept(outcome(new RelayWire.Outcome(0, null, true)));
    send(false).unsent.over(true);
    send(false).done.accept(outcome(new RelayWire.Outcome(409, Fields.create(), false)));
    assertEquals(List.of("none", "none", "none", "none", "unsent", 409), outcomes);
    assertTrue(sent.stream().allMatch(s -> s.address.equals("10.0.0.2:8081")));
  }

  /** A peer that knows of a later epoch does not relay the command, and answers that it did not. */
  @Test
  void commandsOfAnOutdatedLeaderAreNotRelayed() throws WireException {
    for (long epoch = 6; epoch <= 7; epoch++) {
      RelayWire.Commands commands =
          new RelayWire.Commands(epoch, "10.1.0.1:9000", 2_500, false, Fields.create());
      Answer[] answer = new Answer[1];
      commandSender
          .peerService((report, e, from) -> null)
          .handle(
              new Request("POST", RelayWire.COMMANDS, Codec.JSON.encode(commands.write())),
              a -> answer[0] = a);
      if (epoch == 6) {
        assertTrue(RelayWire.Outcome.read(answer[0].fields()).unsent());
        assertEquals(0, sent.size());
      } else {
        assertNull(answer[0]);
        assertEquals("10.1.0.1:9000", sent.get(0).address);
      }
    }
  }

  /**
   * A slow probe is sent both directly and through a peer. It is unanswered only if both attempts
   * end without an answer.
   */
  @Test
  void slowProbeIsAlsoSentThroughAPeer() {
    reachability.onReport(nowMs);
    SentRequest direct = send(true);
    assertEquals("10.1.0.1:9000", direct.address);
    timers.get(timers.size() - 1).run();
    SentRequest relayed = sent.get(sent.size() - 1);
    assertEquals("10.0.0.2:8081", relayed.address);
    direct.done.accept(null);
    assertTrue(outcomes.isEmpty());
    relayed.done.accept(outcome(new RelayWire.Outcome(200, Fields.create(), false)));
    assertEquals(List.of(200), outcomes);
    assertEquals("10.0.0.2:8081", send(false).address, "starts go through the peer that answered");
  }
}
