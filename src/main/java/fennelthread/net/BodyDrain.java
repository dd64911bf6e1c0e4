package fennelthread.net;

import fennelthread.constants.NetConstants;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads and drops the rest of a request's body that is too large, after the request was refused. A
 * connection that is closed with unread bytes is reset, and its client may lose the response. The
 * time and the bytes are bounded, so that no client can hold a connection or the event loop.
 */
final class BodyDrain implements ChannelListener<StreamSourceChannel> {
  private final ByteBufferPool buffers;
  private final Runnable onEnd;
  private XnioExecutor.Key timeout;
  private long drainedBytes;
  private boolean isEnded;

  /**
   * Creates a drain.
   *
   * @param buffers the buffers to read into
   * @param onEnd called once, at the end of the body or when the drain is given up
   */
  BodyDrain(ByteBufferPool buffers, Runnable onEnd) {
    this.buffers = buffers;
    this.onEnd = onEnd;
  }

  /** Drops what has arrived from a channel, and the rest as it arrives. */
  void start(StreamSourceChannel channel) {
    timeout =
        channel
            .getIoThread()
            .executeAfter(this::end, NetConstants.BODY_DRAIN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    channel.getReadSetter().set(this);
    handleEvent(channel);
  }

  @Override
  public void handleEvent(StreamSourceChannel channel) {
    try {
      if (isEnded || drainAvailable(channel)) {
        end();
      } else {
        channel.resumeReads();
      }
    } catch (IOException e) {
      end();
    }
  }

  /** Drops what has arrived; returns true at the end of the body or of the bytes allowed. */
  private boolean drainAvailable(StreamSourceChannel channel) throws IOException {
    try (PooledByteBuffer pooledBuffer = buffers.allocate()) {
      ByteBuffer buffer = pooledBuffer.getBuffer();
      while (drainedBytes <= NetConstants.MAX_DRAINED_BODY_BYTES) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count <= 0) {
          return count < 0;
        }
        drainedBytes += count;
      }
      return true;
    }
  }

  private void end() {
    if (!isEnded) {
      isEnded = true;
      timeout.remove();
      onEnd.run();
    }
  }
}
