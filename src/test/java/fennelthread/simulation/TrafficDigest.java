package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.wire.Codec;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest of all requests and answers on the simulated network in their order (time, sender,
 * address, method, path, body, status), and of every key and value that is stored at the end. Log
 * lines and names of classes have no part in it: a change that only renames or moves code leaves it
 * as it is.
 */
final class TrafficDigest implements SimulatedNetwork.TrafficObserver {
  private final MessageDigest digest;
  private long messages;

  private TrafficDigest() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Begins to digest a cluster's traffic. */
  static TrafficDigest observe(SimulatedCluster cluster) {
    TrafficDigest traffic = new TrafficDigest();
    cluster.world.trafficObserver = traffic;
    return traffic;
  }

  @Override
  public void onRequest(long nowMs, String from, String address, Call call) {
    messages++;
    add("request", nowMs, from, address, call);
    add(call.body());
  }

  @Override
  public void onAnswer(long nowMs, String from, String address, Call call, Answer answer) {
    messages++;
    add("answer", nowMs, from, address, call);
    if (answer != null) {
      add(Integer.toString(answer.status()));
      add(answer.body());
    }
  }

  /** The number of messages and the digest of them and of what the cluster has stored. */
  String finish(SimulatedCluster cluster) {
    cluster.state.forEachStored(
        (key, value) -> {
          add(key);
          add(Codec.JSON.encode(value));
        });
    return messages + " " + HexFormat.of().formatHex(digest.digest()).substring(0, 32);
  }

  private void add(String kind, long nowMs, String from, String address, Call call) {
    add(kind);
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(0, nowMs));
    add(from);
    add(address);
    add(call.method());
    add(call.path());
  }

  private void add(String text) {
    add(text.getBytes(StandardCharsets.UTF_8));
  }

  private void add(byte[] bytes) {
    int length = bytes == null ? -1 : bytes.length;
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, length));
    if (bytes != null) {
      digest.update(bytes);
    }
  }
}
