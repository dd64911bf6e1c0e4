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

/**
 * The event loop of a real process: Undertow's HTTP server and client on one XNIO thread, on which
 * all tasks, timers and callbacks run.
 */
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
   * Creates the event loop and starts its thread; it does not listen yet.
   *
   * @param maxSockets the number of sockets that the process may hold
   * @param maxOutboundSockets how many of these may be used for connections to other components
   * @param essentialAddresses addresses that are connected to even if all of these are taken
   * @throws IOException if the thread cannot be created
   */
  public XnioEventLoop(int maxSockets, int maxOutboundSockets, Set<String> essentialAddresses)
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
    client = new HttpClient(this, thread, buffers, maxOutboundSockets, essentialAddresses);
    inbound =
        new InboundConnections<>(this::nowMs, maxSockets, client::socketCount, IoUtils::safeClose);
  }

  /** The number of addresses of which the client holds anything. */
  int destinationCount() {
    return client.destinationCount();
  }

  /** Runs a task on the event loop's thread; may be called from any thread. */
  public void run(Runnable task) {
    thread.execute(logExceptions(task));
  }

  /**
   * Starts to listen on both addresses, host and port; the services are called on the event loop's
   * thread.
   */
  public void listen(
      String apiAddress, Service apiService, String peerAddress, Service peerService) {
    server =
        new HttpServer(worker, buffers, inbound, apiAddress, apiService, peerAddress, peerService);
    server.start();
  }

  /** Stops listening and ends the event loop's thread. */
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
        thread.executeAfter(logExceptions(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    return key::remove;
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  /** Wraps a task so that its exceptions are logged and do not end the event loop's thread. */
  static Runnable logExceptions(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        log.error("event loop task failed", e);
      }
    };
  }

  @Override
  public void call(
      String address, Call call, long timeoutMs, Consumer<Answer> done, Unsent unsent) {
    client.call(address, call, timeoutMs, done, unsent);
  }
}
