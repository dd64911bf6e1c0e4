package fennelthread.net;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The real machine: Undertow's server and client over one XNIO thread, which owns all state. */
public final class XnioEventLoop implements EventLoop {
  private static final Logger log = LoggerFactory.getLogger(XnioEventLoop.class);

  private final XnioWorker worker;
  private final XnioIoThread thread;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 4096, 64, 4);
  private final HttpClient client;
  private final InboundConnections<ServerConnection> inbound;
  private final RandomGenerator random = new SplittableRandom();
  private final long startNanos = System.nanoTime();
  private HttpServer server;

  /**
   * Creates the event loop with its thread; nothing listens yet.
   *
   * @param mostSockets how many sockets the process may hold
   * @param mostOutbound how many of them may be connections of ours at once
   * @param essential addresses whose connections never wait for room among them
   */
  public XnioEventLoop(int mostSockets, int mostOutbound, Set<String> essential)
      throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 0)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.STACK_SIZE, 256L * 1024)
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.WORKER_NAME, "fennelthread")
                    .getMap());
    thread = worker.getIoThread();
    client = new HttpClient(this, thread, buffers, mostOutbound, essential);
    inbound =
        new InboundConnections<>(this::nowMs, mostSockets, client::sockets, IoUtils::safeClose);
  }

  /** Runs a task on the thread that owns all state. */
  public void run(Runnable task) {
    thread.execute(guarded(task));
  }

  /** Listens; the services are called on the one thread. */
  public void listen(String apiAddr, Service api, String peerAddr, Service peers) {
    server = new HttpServer(worker, buffers, inbound, apiAddr, api, peerAddr, peers);
    server.start();
  }

  /** Stops listening and ends the thread. */
  public void stop() {
    if (server != null) {
      server.stop();
    }
    worker.shutdownNow();
  }

  @Override
  public long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }

  @Override
  public Cancellable after(long delayMs, Runnable task) {
    XnioExecutor.Key key =
        thread.executeAfter(guarded(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    return key::remove;
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  /** One task's mistake must not end the thread that everything runs on. */
  static Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        log.error("a task failed", e);
      }
    };
  }

  @Override
  public void call(
      String address, Call call, long timeoutMs, Consumer<Answer> done, Unsent unsent) {
    client.call(address, call, timeoutMs, done, unsent);
  }
}
