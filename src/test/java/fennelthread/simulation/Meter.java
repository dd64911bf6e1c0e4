package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Counts the messages and bytes of one controller, and the processor time that it takes. */
final class Meter {
  /** With whom a message was exchanged. */
  enum Partner {
    WORKER,
    USER,
    PEER,
    STATE,
    CLOUD
  }

  /** Messages with one partner: requests with their responses, both ways. */
  static final class Exchange {
    long messages;
    long bytes;
  }

  /**
   * Bytes of the headers of a request, its path apart, and of a response, as RequestCostTest sends
   * and gets them over a socket.
   */
  private static final int REQUEST_HEADERS = 88;

  private static final int RESPONSE_HEADERS = 70;

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  final Map<Partner, Exchange> exchanges = new TreeMap<>();

  /** Changes at the state service by what is changed, for instance {@code write live/round}. */
  final Map<String, Long> changes = new TreeMap<>();

  /** Requests at the state service by their path. */
  final Map<String, Long> stateRequests = new TreeMap<>();

  /** Processor time by what was handled, ns. */
  final Map<String, Long> nanos = new TreeMap<>();

  private boolean running;

  void reset() {
    exchanges.clear();
    changes.clear();
    stateRequests.clear();
    nanos.clear();
  }

  long messages() {
    return exchanges.values().stream().mapToLong(e -> e.messages).sum();
  }

  long bytes() {
    return exchanges.values().stream().mapToLong(e -> e.bytes).sum();
  }

  double processorMs() {
    return nanos.values().stream().mapToLong(n -> n).sum() / 1e6;
  }

  private Exchange with(Partner partner) {
    return exchanges.computeIfAbsent(partner, k -> new Exchange());
  }

  private void timed(String kind, Runnable task) {
    if (running) {
      task.run();
      return;
    }
    running = true;
    long from = THREADS.getCurrentThreadCpuTime();
    try {
      task.run();
    } finally {
      running = false;
      nanos.merge(kind, THREADS.getCurrentThreadCpuTime() - from, Long::sum);
    }
  }

  private static int length(byte[] body) {
    return body == null ? 0 : body.length;
  }

  /** The same service, counted. */
  Service counted(Service service) {
    return (request, reply) -> {
      Exchange e = with(partnerOf(request));
      e.messages++;
      e.bytes += REQUEST_HEADERS + request.path().length() + length(request.body());
      timed(
          "serve " + (request.path().startsWith("/v1") ? "/v1" : request.path()),
          () ->
              service.handle(
                  request,
                  answer -> {
                    e.bytes += answer == null ? 0 : RESPONSE_HEADERS + length(answer.body());
                    reply.accept(answer);
                  }));
    };
  }

  private static Partner partnerOf(Request request) {
    if (request.path().startsWith("/agent")) {
      return Partner.WORKER;
    }
    return request.path().startsWith("/v1") || request.path().equals("/up")
        ? Partner.USER
        : Partner.PEER;
  }

  /** The same event loop, counted. */
  EventLoop counted(EventLoop eventLoop) {
    return new Counted(eventLoop);
  }

  private final class Counted implements EventLoop {
    private final EventLoop eventLoop;

    Counted(EventLoop eventLoop) {
      this.eventLoop = eventLoop;
    }

    @Override
    public long nowMs() {
      return eventLoop.nowMs();
    }

    @Override
    public long wallMs() {
      return eventLoop.wallMs();
    }

    @Override
    public Cancellable after(long delayMs, Runnable task) {
      return eventLoop.after(delayMs, () -> timed("timer", task));
    }

    @Override
    public RandomGenerator random() {
      return eventLoop.random();
    }

    @Override
    public Heap heap() {
      return eventLoop.heap();
    }

    @Override
    public void call(
        String address, Call call, long timeoutMs, Consumer<Answer> done, Unsent unsent) {
      Partner partner = partnerAt(address);
      Exchange e = with(partner);
      e.messages++;
      e.bytes += REQUEST_HEADERS + call.path().length() + length(call.body());
      if (partner == Partner.STATE) {
        countState(call);
      }
      eventLoop.call(
          address,
          call,
          timeoutMs,
          answer -> {
            e.bytes += answer == null ? 0 : RESPONSE_HEADERS + length(answer.body());
            timed("answer " + partner, () -> done.accept(answer));
          },
          unsent);
    }
  }

  private static Partner partnerAt(String address) {
    if (address.equals(ScaledCell.STATE)) {
      return Partner.STATE;
    }
    if (address.equals(ScaledCell.CLOUD)) {
      return Partner.CLOUD;
    }
    return address.startsWith("10.0.0.") ? Partner.PEER : Partner.WORKER;
  }

  private void countState(Call call) {
    String path = call.path();
    int end = Math.max(path.indexOf('?'), path.indexOf('/', 1));
    stateRequests.merge(end < 0 ? path : path.substring(0, end), 1L, Long::sum);
    if (!path.equals("/multi")) {
      return;
    }
    try {
      for (Fields f : Codec.CBOR.decode(call.body()).maps("then")) {
        boolean put = f.has("write");
        String key = f.text(put ? "write" : "remove");
        int second = key.indexOf('/', key.startsWith("live/") ? 5 : 0);
        changes.merge(
            (put ? "put " : "delete ") + (second < 0 ? key : key.substring(0, second)),
            1L,
            Long::sum);
      }
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }
}
