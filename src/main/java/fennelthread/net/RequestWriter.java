package fennelthread.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/** Writes the body of a request, as far as the channel takes it at once and the rest later. */
final class RequestWriter implements ChannelListener<StreamSinkChannel> {
  private final ByteBuffer data;
  private final Runnable onFailure;
  private boolean isShutDown;

  /**
   * Creates a writer.
   *
   * @param body the bytes to write, null for none
   * @param onFailure called if the channel fails before all is written
   */
  RequestWriter(byte[] body, Runnable onFailure) {
    this.data = ByteBuffer.wrap(body == null ? new byte[0] : body);
    this.onFailure = onFailure;
  }

  /** Begins to write. */
  void start(StreamSinkChannel channel) {
    channel.getWriteSetter().set(this);
    handleEvent(channel);
  }

  @Override
  public void handleEvent(StreamSinkChannel channel) {
    try {
      while (data.hasRemaining()) {
        if (channel.write(data) == 0) {
          channel.resumeWrites();
          return;
        }
      }
      if (!isShutDown) {
        isShutDown = true;
        channel.shutdownWrites();
      }
      if (!channel.flush()) {
        channel.resumeWrites();
        return;
      }
      channel.suspendWrites();
    } catch (IOException e) {
      onFailure.run();
    }
  }
}
