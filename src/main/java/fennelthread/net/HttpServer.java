package fennelthread.net;

import fennelthread.constants.NetConstants;
import fennelthread.constants.ProtocolConstants;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSourceChannel;

/**
 * The HTTP server of a controller, with one listener for users and workers and one for peers.
 * Requests are handled on the event loop's thread.
 */
final class HttpServer {
  private static final Logger log = LoggerFactory.getLogger(HttpServer.class);

  private final Undertow server;
  private final ByteBufferPool buffers;
  private final InboundConnections<ServerConnection> inbound;

  /**
   * Creates a server; {@link #start} begins to listen.
   *
   * @param inbound tracks the connections, closes stale ones, and tells whether sockets are scarce
   * @param apiAddress host and port for users and workers
   * @param peerAddress host and port for peers
   */
  HttpServer(
      XnioWorker worker,
      ByteBufferPool buffers,
      InboundConnections<ServerConnection> inbound,
      String apiAddress,
      Service apiService,
      String peerAddress,
      Service peerService) {
    this.inbound = inbound;
    this.buffers = buffers;
    this.server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, NetConstants.NO_REQUEST_TIMEOUT_MS)
            .setSocketOption(Options.BACKLOG, NetConstants.ACCEPT_BACKLOG)
            .setSocketOption(Options.REUSE_ADDRESSES, true)
            .addListener(listener(apiAddress, handler(apiService)))
            .addListener(listener(peerAddress, handler(peerService)))
            .build();
  }

  /** Starts listening. */
  void start() {
    server.start();
  }

  /** Stops listening. */
  void stop() {
    server.stop();
  }

  private static Undertow.ListenerBuilder listener(String address, HttpHandler handler) {
    int colon = address.lastIndexOf(':');
    return new Undertow.ListenerBuilder()
        .setType(Undertow.ListenerType.HTTP)
        .setHost(address.substring(0, colon))
        .setPort(Integer.parseInt(address.substring(colon + 1)))
        .setRootHandler(handler);
  }

  private HttpHandler handler(Service service) {
    return exchange -> {
      if (inbound.recordRequest(exchange.getConnection())) {
        exchange.getConnection().addCloseListener(inbound::recordClosed);
      }
      // Undertow ends an exchange with an empty response of status 200 when its handler returns
      // without having answered or dispatched, and answers may come later.
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> read(exchange, service));
    };
  }

  private void read(HttpServerExchange exchange, Service service) {
    String method = exchange.getRequestMethod().toString();
    String path = exchange.getRequestPath();
    if (method.equals("GET") && exchange.isRequestComplete()) {
      serve(exchange, service, new Request(method, path, null));
      return;
    }
    if (exchange.getRequestContentLength() > ProtocolConstants.MAX_BODY_BYTES) {
      refuseAsTooLarge(exchange, exchange.getRequestChannel());
      return;
    }
    askForBody(exchange, () -> receiveBody(exchange, service, method, path));
  }

  /**
   * Runs a task that reads a request's body; before that, tells a client to send the body if it
   * waits to be told.
   */
  private static void askForBody(HttpServerExchange exchange, Runnable readBody) {
    if (!HttpContinue.requiresContinueResponse(exchange)) {
      readBody.run();
      return;
    }
    HttpContinue.sendContinueResponse(
        exchange,
        new IoCallback() {
          @Override
          public void onComplete(HttpServerExchange asked, Sender sender) {
            readBody.run();
          }

          @Override
          public void onException(HttpServerExchange asked, Sender sender, IOException failure) {
            IoUtils.safeClose(asked.getConnection());
          }
        });
  }

  private void receiveBody(
      HttpServerExchange exchange, Service service, String method, String path) {
    BodyReader.Outcome outcome =
        new BodyReader.Outcome() {
          @Override
          public void onBody(byte[] body) {
            serve(exchange, service, new Request(method, path, body));
          }

          @Override
          public void onTooLarge(StreamSourceChannel rest) {
            refuseAsTooLarge(exchange, rest);
          }

          @Override
          public void onFailure(IOException failure) {
            IoUtils.safeClose(exchange.getConnection());
          }
        };
    new BodyReader(buffers, ProtocolConstants.MAX_BODY_BYTES, outcome)
        .start(exchange.getRequestChannel());
  }

  /** Sends the response 413, drops the rest of the body, then ends the connection. */
  private void refuseAsTooLarge(HttpServerExchange exchange, StreamSourceChannel rest) {
    Answer answer =
        Answer.error(413, "body: is larger than " + ProtocolConstants.MAX_BODY_BYTES + " bytes")
            .then(Answer.Afterwards.CLOSE);
    setHead(exchange, answer);
    exchange.setResponseContentLength(answer.body().length);
    exchange
        .getResponseSender()
        .send(
            ByteBuffer.wrap(answer.body()),
            new IoCallback() {
              @Override
              public void onComplete(HttpServerExchange refused, Sender sender) {
                new BodyDrain(buffers, refused::endExchange).start(rest);
              }

              @Override
              public void onException(
                  HttpServerExchange refused, Sender sender, IOException failure) {
                IoUtils.safeClose(refused.getConnection());
              }
            });
  }

  private void serve(HttpServerExchange exchange, Service service, Request request) {
    try {
      service.handle(request, answer -> respond(exchange, answer));
    } catch (RuntimeException e) {
      log.error(
          "request handler failed method={} path=\"{}\"", request.method(), request.path(), e);
      respond(exchange, Answer.error(500, "internal error"));
    }
  }

  private void respond(HttpServerExchange exchange, Answer answer) {
    if (exchange.isResponseStarted()) {
      log.error(
          "request answered twice method={} path=\"{}\" unsentStatus={}",
          exchange.getRequestMethod(),
          exchange.getRequestPath(),
          answer.status());
      return;
    }
    setHead(exchange, answer);
    exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
  }

  /** Sets the status and headers of a response, and whether its connection is kept. */
  private void setHead(HttpServerExchange exchange, Answer answer) {
    exchange.setStatusCode(answer.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.codec().contentType());
    if (answer.retryAfterS() > 0) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, answer.retryAfterS());
    }
    boolean isClosing =
        switch (answer.afterwards()) {
          case KEEP -> false;
          case KEEP_IF_ROOM -> inbound.areSocketsScarce();
          case CLOSE -> true;
        };
    if (isClosing) {
      exchange.setPersistent(false);
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    }
  }
}
