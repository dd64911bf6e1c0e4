package fennelthread.net;

import fennelthread.emulate.Addresses;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;

/** A client's TCP connection that sends bytes exactly as it is told, and reads what comes back. */
public final class RawConnection implements AutoCloseable {
  private static final int READ_TIMEOUT_MS = 10_000;

  private final Socket socket;
  private final InputStream input;

  /** Connects to an address, host and port. */
  public RawConnection(String address) throws IOException {
    socket = new Socket();
    socket.connect(Addresses.parse(address));
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    input = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends bytes as one packet, if they are few enough for one. */
  public void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Reads the next response, be it interim or final. */
  public RawResponse read() throws IOException {
    return RawResponse.read(input);
  }

  /** Reads the next final response; interim ones are passed over. */
  public RawResponse readFinal() throws IOException {
    RawResponse response = read();
    while (response.status() < 200) {
      response = read();
    }
    return response;
  }

  /** True if anything arrives, a byte or the end of the connection, within the time. */
  public boolean isReadableWithin(int ms) throws IOException {
    socket.setSoTimeout(ms);
    input.mark(1);
    try {
      input.read();
      input.reset();
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    } finally {
      socket.setSoTimeout(READ_TIMEOUT_MS);
    }
  }

  /** True if the connection ends, by close or reset, before another byte arrives. */
  public boolean isEnded() throws IOException {
    try {
      return input.read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (SocketException e) {
      return true;
    }
  }

  /** Ends this side's direction; the other one stays open. */
  public void shutDownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Closes the connection with a reset. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
