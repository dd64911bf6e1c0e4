package fennelthread.net;

import fennelthread.constants.NetConstants;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * The HTTP client of this process: pools connections to workers, peers, the state service and the
 * cloud, and bounds the number of sockets that they take. Without that bound they could use up the
 * process's sockets, and nobody could connect to it any more. Used on the event loop's thread only.
 */
final class HttpClient {
  private final EventLoop eventLoop;
  private final XnioIoThread thread;
  private final ByteBufferPool buffers;
  private final UndertowClient client = UndertowClient.getInstance();
  private final Map<String, Destination> destinations = new HashMap<>();
  private final int maxSockets;
  private final int maxSpareAttempts;
  private final Set<String> essentialAddresses;
  private final Set<PooledConnection> idleConnections = new LinkedHashSet<>();
  private final ArrayDeque<Destination> destinationsWaiting = new ArrayDeque<>();
  private int socketCount;
  private int spareAttempts;

  /**
   * Creates a client without connections.
   *
   * @param maxSockets the most sockets that connections and connection attempts may take
   * @param essentialAddresses addresses that are connected to even if all these sockets are taken
   */
  HttpClient(
      EventLoop eventLoop,
      XnioIoThread thread,
      ByteBufferPool buffers,
      int maxSockets,
      Set<String> essentialAddresses) {
    this.eventLoop = eventLoop;
    this.thread = thread;
    this.buffers = buffers;
    this.maxSockets = maxSockets;
    this.maxSpareAttempts = Math.max(1, (int) (maxSockets * NetConstants.MAX_SPARE_CONNECT_SHARE));
    this.essentialAddresses = essentialAddresses;
  }

  /** The number of addresses that have a connection, an attempt to open one or a waiting call. */
  int destinationCount() {
    return destinations.size();
  }

  /** The number of sockets in use, including those of connection attempts. */
  int socketCount() {
    return socketCount;
  }

  /** An open connection; it counts against the bound on sockets until it is closed. */
  private static final class PooledConnection {
    final ClientConnection connection;
    final Destination destination;
    long idleSinceMs;
    boolean isCounted = true;

    PooledConnection(ClientConnection connection, Destination destination) {
      this.connection = connection;
      this.destination = destination;
    }
  }

  /** An address that requests are sent to, with its connections and waiting calls. */
  private static final class Destination {
    final String address;
    final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
    final ArrayDeque<PendingCall> waitingCalls = new ArrayDeque<>();

    /** Open connections, in use or idle. */
    int connections;

    /** Connection attempts that have neither ended nor timed out; bounded for each address. */
    int attemptsInFlight;

    /** Sockets held by connection attempts, including those that have timed out. */
    int openingSockets;

    /** True while the destination waits in {@link #destinationsWaiting} for a free socket. */
    boolean isQueued;

    Destination(String address) {
      this.address = address;
    }
  }

  /** A call in flight or waiting for a connection; exactly one of its callbacks is called, once. */
  private final class PendingCall {
    final Destination destination;
    final Call call;
    final Consumer<Answer> done;
    final EventLoop.Unsent unsent;
    EventLoop.Cancellable timer;
    PooledConnection pooled;
    boolean isFinished;

    PendingCall(
        Destination destination, Call call, Consumer<Answer> done, EventLoop.Unsent unsent) {
      this.unsent = unsent;
      this.destination = destination;
      this.call = call;
      this.done = done;
    }

    /** Finishes the call with an answer, or with null if there is none. */
    void finish(Answer answer, boolean isReusable) {
      if (isFinished) {
        return;
      }
      if (answer == null && pooled == null) {
        // It was never handed to a connection, and never will be once it is finished.
        finishUnsent(!destination.isQueued);
        return;
      }
      markFinished();
      if (pooled != null) {
        if (isReusable && pooled.connection.isOpen()) {
          assignOrPool(pooled);
        } else {
          close(pooled);
        }
      }
      XnioEventLoop.logExceptions(() -> done.accept(answer)).run();
    }

    /** Finishes a call of which nothing was sent; as in {@link EventLoop.Unsent#over}. */
    void finishUnsent(boolean wasTried) {
      if (!isFinished) {
        markFinished();
        forgetIfUnused(destination);
        XnioEventLoop.logExceptions(() -> unsent.over(wasTried)).run();
      }
    }

    private void markFinished() {
      isFinished = true;
      timer.cancel();
    }
  }

  /**
   * Uses a new or free connection for a waiting call, else puts it in the pool. Closes it instead
   * if the pool holds enough for its address, or if another address waits for a socket.
   */
  private void assignOrPool(PooledConnection pooled) {
    PendingCall next = pollWaitingCall(pooled.destination);
    if (next != null) {
      send(next, pooled);
    } else if (pooled.destination.idle.size() < NetConstants.MAX_IDLE_CONNECTIONS_PER_ADDRESS
        && destinationsWaiting.isEmpty()) {
      pooled.idleSinceMs = eventLoop.nowMs();
      pooled.destination.idle.push(pooled);
      idleConnections.add(pooled);
    } else {
      close(pooled);
    }
  }

  private static PendingCall pollWaitingCall(Destination destination) {
    PendingCall next = destination.waitingCalls.poll();
    while (next != null && next.isFinished) {
      next = destination.waitingCalls.poll();
    }
    return next;
  }

  private void close(PooledConnection pooled) {
    release(pooled);
    IoUtils.safeClose(pooled.connection);
  }

  /** Stops counting a connection that is closed; a waiting destination may take its socket. */
  private void release(PooledConnection pooled) {
    idleConnections.remove(pooled);
    pooled.destination.idle.remove(pooled);
    if (pooled.isCounted) {
      pooled.isCounted = false;
      pooled.destination.connections--;
      socketCount--;
      openWaitingDestinations();
      forgetIfUnused(pooled.destination);
    }
  }

  /** Machines come and go with their addresses: one that nothing uses is not kept. */
  private void forgetIfUnused(Destination destination) {
    destination.waitingCalls.removeIf(waiting -> waiting.isFinished);
    if (destination.connections == 0
        && destination.openingSockets == 0
        && destination.waitingCalls.isEmpty()
        && !destination.isQueued) {
      destinations.remove(destination.address, destination);
    }
  }

  /**
   * Opens connections for waiting destinations while sockets are free. Such an attempt counts as
   * spare if all calls that wait for it are spare.
   */
  private void openWaitingDestinations() {
    while (socketCount < maxSockets && !destinationsWaiting.isEmpty()) {
      Destination destination = destinationsWaiting.poll();
      destination.isQueued = false;
      destination.waitingCalls.removeIf(p -> p.isFinished);
      if (!destination.waitingCalls.isEmpty()) {
        open(destination, destination.waitingCalls.stream().allMatch(p -> p.call.spare()));
      }
      forgetIfUnused(destination);
    }
  }

  /** Sends a request; the callbacks follow the contract of {@link EventLoop#call}. */
  void call(
      String address, Call call, long timeoutMs, Consumer<Answer> done, EventLoop.Unsent unsent) {
    Destination destination = destinations.computeIfAbsent(address, Destination::new);
    PendingCall pending = new PendingCall(destination, call, done, unsent);
    pending.timer = eventLoop.after(timeoutMs, () -> pending.finish(null, false));
    while (!destination.idle.isEmpty()) {
      PooledConnection pooled = destination.idle.pop();
      idleConnections.remove(pooled);
      if (pooled.connection.isOpen()
          && eventLoop.nowMs() - pooled.idleSinceMs < NetConstants.IDLE_CONNECTION_TIMEOUT_MS) {
        send(pending, pooled);
        return;
      }
      close(pooled);
    }
    // Attempts to connect to machines that are cut off hold their sockets for long, so spare calls
    // may take only a part of the sockets.
    if (call.spare() && destination.openingSockets == 0 && spareAttempts >= maxSpareAttempts) {
      eventLoop.after(0, () -> pending.finishUnsent(false));
      return;
    }
    destination.waitingCalls.add(pending);
    // To close its last connection may have removed it.
    destinations.put(address, destination);
    // A spare call starts no attempt while another one holds a socket, even if that has timed out.
    if (!call.spare() || destination.openingSockets == 0) {
      open(destination, call.spare());
    }
  }

  /**
   * Opens a connection if the bounds on attempts and sockets allow it. If all sockets are taken, it
   * closes the connection that has been idle longest; if none is idle, the destination waits. For
   * an essential address it opens the connection even if all sockets are taken.
   */
  private void open(Destination destination, boolean isSpare) {
    boolean isEssential = essentialAddresses.contains(destination.address);
    int maxAttempts =
        isEssential ? NetConstants.MAX_CONNECTS_PER_ADDRESS : NetConstants.MAX_CONNECTS_PER_WORKER;
    if (destination.attemptsInFlight >= maxAttempts
        || (!isEssential
            && destination.openingSockets >= NetConstants.MAX_OPENING_SOCKETS_PER_WORKER)) {
      return;
    }
    if (socketCount >= maxSockets && !isEssential) {
      if (idleConnections.isEmpty()) {
        if (!destination.isQueued) {
          destination.isQueued = true;
          destinationsWaiting.add(destination);
        }
        return;
      }
      close(idleConnections.iterator().next());
    }
    connect(destination, isSpare);
  }

  private void connect(Destination destination, boolean isSpare) {
    client.connect(
        new ConnectAttempt(destination, isSpare),
        URI.create("http://" + destination.address),
        thread,
        buffers,
        OptionMap.create(Options.TCP_NODELAY, true));
  }

  /** An attempt to open a connection. Until it succeeds or fails, it holds a socket. */
  private final class ConnectAttempt implements ClientCallback<ClientConnection> {
    private final Destination destination;
    private final boolean isSpare;
    private final EventLoop.Cancellable timeout;

    /** True once a later call may make another attempt beside this one. */
    private boolean isReplaceable;

    /** Counts an attempt that is about to start, and starts its timeout. */
    ConnectAttempt(Destination destination, boolean isSpare) {
      this.destination = destination;
      this.isSpare = isSpare;
      destination.attemptsInFlight++;
      destination.openingSockets++;
      socketCount++;
      spareAttempts += isSpare ? 1 : 0;
      // A machine without power never refuses a connection. After a timeout the attempt no longer
      // keeps later calls from making another, but its socket stays taken until the operating
      // system gives up.
      this.timeout = eventLoop.after(NetConstants.CONNECT_TIMEOUT_MS, this::makeReplaceable);
    }

    private void makeReplaceable() {
      if (!isReplaceable) {
        isReplaceable = true;
        destination.attemptsInFlight--;
      }
    }

    /** Takes the attempt out of all counts but that of the sockets. */
    private void stopCounting() {
      destination.openingSockets--;
      spareAttempts -= isSpare ? 1 : 0;
      if (!isReplaceable) {
        makeReplaceable();
        timeout.cancel();
      }
    }

    @Override
    public void completed(ClientConnection connection) {
      stopCounting();
      PooledConnection pooled = new PooledConnection(connection, destination);
      destination.connections++;
      connection.getCloseSetter().set(c -> release(pooled));
      assignOrPool(pooled);
    }

    @Override
    public void failed(IOException e) {
      boolean hasTimedOut = isReplaceable;
      stopCounting();
      socketCount--;
      openWaitingDestinations();
      // The calls that wait after a timeout are left to later attempts and to their own timeouts.
      if (!hasTimedOut) {
        failNextCall();
      }
      forgetIfUnused(destination);
    }

    private void failNextCall() {
      PendingCall next = pollWaitingCall(destination);
      if (next != null) {
        next.finish(null, false);
      }
      if (!destination.waitingCalls.isEmpty() && destination.attemptsInFlight == 0) {
        open(destination, isSpare);
      }
    }
  }

  private void send(PendingCall pending, PooledConnection pooled) {
    pending.pooled = pooled;
    byte[] body = pending.call.body();
    ClientRequest request =
        new ClientRequest()
            .setMethod(new HttpString(pending.call.method()))
            .setPath(pending.call.path())
            .setProtocol(Protocols.HTTP_1_1);
    request.getRequestHeaders().put(Headers.HOST, pending.destination.address);
    request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body == null ? 0 : body.length);
    if (body != null) {
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, pending.call.codec().contentType());
    }
    pooled.connection.sendRequest(
        request,
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange exchange) {
            exchange.setResponseListener(
                new ClientCallback<>() {
                  @Override
                  public void completed(ClientExchange answered) {
                    receive(pending, answered);
                  }

                  @Override
                  public void failed(IOException e) {
                    pending.finish(null, false);
                  }
                });
            new RequestWriter(body, () -> pending.finish(null, false))
                .start(exchange.getRequestChannel());
          }

          @Override
          public void failed(IOException e) {
            pending.finish(null, false);
          }
        });
  }

  private void receive(PendingCall pending, ClientExchange exchange) {
    ResponseOutcome outcome = new ResponseOutcome(pending, exchange.getResponse());
    new BodyReader(buffers, NetConstants.MAX_ANSWER_BYTES, outcome)
        .start(exchange.getResponseChannel());
  }

  /** Finishes a call once the body of its response was read. */
  private static final class ResponseOutcome implements BodyReader.Outcome {
    private final PendingCall pending;
    private final ClientResponse response;

    ResponseOutcome(PendingCall pending, ClientResponse response) {
      this.pending = pending;
      this.response = response;
    }

    @Override
    public void onBody(byte[] body) {
      pending.finish(createAnswer(body), isReusable());
    }

    @Override
    public void onTooLarge(StreamSourceChannel rest) {
      pending.finish(null, false);
    }

    @Override
    public void onFailure(IOException failure) {
      pending.finish(null, false);
    }

    private Answer createAnswer(byte[] body) {
      return new Answer(
          response.getResponseCode(),
          body,
          pending.call.codec(),
          retryAfterS(),
          Answer.Afterwards.KEEP);
    }

    private boolean isReusable() {
      String connection = response.getResponseHeaders().getFirst(Headers.CONNECTION);
      return connection == null || !connection.equalsIgnoreCase("close");
    }

    /** The value of the Retry-After header, s; 0 if it is absent or not a whole number. */
    private int retryAfterS() {
      String text = response.getResponseHeaders().getFirst(Headers.RETRY_AFTER);
      if (text == null) {
        return 0;
      }
      try {
        return Integer.parseInt(text.trim());
      } catch (NumberFormatException e) {
        return 0;
      }
    }
  }
}
