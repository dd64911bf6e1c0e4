package fennelthread.net;

import fennelthread.constants.NetConstants;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a request or of a response, in however many packets it arrives. The outcome is
 * told once, on the event loop's thread, either while {@link #start} runs or later. It is never
 * told inside a call of an Undertow handler that did not start the reading: unlike the callbacks of
 * Undertow's own receiver, the outcome may be handled without an answer.
 */
final class BodyReader implements ChannelListener<StreamSourceChannel> {

  /** Receives the outcome: exactly one of its methods is called, once. */
  interface Outcome {
    /** The body has arrived whole. */
    void onBody(byte[] body);

    /** The body is larger than allowed; the rest of it can be read from the channel. */
    void onTooLarge(StreamSourceChannel rest);

    /** The connection failed, or ended before the body did. */
    void onFailure(IOException failure);
  }

  private final ByteBufferPool buffers;
  private final int maxBytes;
  private final Outcome outcome;
  private final ByteArrayOutputStream body =
      new ByteArrayOutputStream(NetConstants.INITIAL_BODY_BUFFER_BYTES);
  private boolean isFinished;

  /**
   * Creates a reader.
   *
   * @param buffers the buffers to read into, backed by arrays
   * @param maxBytes the size of the largest body that is accepted, bytes
   */
  BodyReader(ByteBufferPool buffers, int maxBytes, Outcome outcome) {
    this.buffers = buffers;
    this.maxBytes = maxBytes;
    this.outcome = outcome;
  }

  /** Reads what has arrived from a channel, and the rest as it arrives. */
  void start(StreamSourceChannel channel) {
    channel.getReadSetter().set(this);
    handleEvent(channel);
  }

  @Override
  public void handleEvent(StreamSourceChannel channel) {
    if (isFinished) {
      channel.suspendReads();
      return;
    }
    try {
      if (readAvailable(channel)) {
        isFinished = true;
        outcome.onBody(body.toByteArray());
      } else if (body.size() > maxBytes) {
        isFinished = true;
        outcome.onTooLarge(channel);
      } else {
        channel.resumeReads();
      }
    } catch (IOException e) {
      isFinished = true;
      outcome.onFailure(e);
    }
  }

  /**
   * Reads until nothing more has arrived or the body is too large.
   *
   * @return true at the end of the body
   */
  private boolean readAvailable(StreamSourceChannel channel) throws IOException {
    try (PooledByteBuffer pooledBuffer = buffers.allocate()) {
      ByteBuffer buffer = pooledBuffer.getBuffer();
      while (body.size() <= maxBytes) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count <= 0) {
          return count < 0;
        }
        body.write(buffer.array(), buffer.arrayOffset(), count);
      }
      return false;
    }
  }
}
