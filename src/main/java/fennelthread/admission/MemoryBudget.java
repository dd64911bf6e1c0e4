package fennelthread.admission;

import fennelthread.constants.AdmissionConstants;
import fennelthread.constants.HealthConstants;
import fennelthread.health.MemoryPressureMonitor;
import fennelthread.net.EventLoop;
import fennelthread.peers.HeartbeatExtension;
import fennelthread.peers.MemoryStatus;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * The one budget of memory for accepted jobs: a job is accepted only if it fits, with all that are
 * live, into the smallest heap among the controllers, any of which may have to lead, and while none
 * of them is under memory pressure. The controllers tell each other their figures in heartbeats; a
 * peer of a version that does not tell its own is not counted.
 */
public final class MemoryBudget implements HeartbeatExtension {

  /** Why a job has no room. */
  public enum Refusal {
    /** The heap of this controller or of a peer is nearly full. */
    UNDER_PRESSURE("no memory for more jobs"),
    /** The live jobs take all that the smallest heap has for jobs. */
    BUDGET_SPENT("no memory for more jobs beside those accepted");

    private final String text;

    Refusal(String text) {
      this.text = text;
    }

    /** The reason as users are told it. */
    public String text() {
      return text;
    }
  }

  /** What a peer told last, and when, ms of the event loop's clock. */
  private record PeerMemory(MemoryStatus status, long heardAtMs) {}

  private final EventLoop eventLoop;
  private final MemoryPressureMonitor pressure;
  private final BacklogSize backlog;
  private final long ownJobBytes;
  private final Map<String, PeerMemory> peers = new HashMap<>();
  private long reservedBytes;

  /**
   * Creates the budget of one controller.
   *
   * @param maxConnections the most connections that the controller may hold
   */
  public MemoryBudget(
      EventLoop eventLoop,
      MemoryPressureMonitor pressure,
      BacklogSize backlog,
      PeerHeartbeats heartbeats,
      int maxConnections) {
    this.eventLoop = eventLoop;
    this.pressure = pressure;
    this.backlog = backlog;
    this.ownJobBytes = jobBytes(eventLoop.heap().mostBytes(), maxConnections);
    heartbeats.addExtension(this);
  }

  /** What a heap has for jobs beside all else that a leader holds, bytes. */
  static long jobBytes(long heapBytes, int maxConnections) {
    long usableBytes = (long) (heapBytes * HealthConstants.MEMORY_PRESSURE_LIVE_SHARE);
    long otherBytes =
        AdmissionConstants.BASE_HEAP_BYTES + maxConnections * AdmissionConstants.CONNECTION_BYTES;
    long minBytes = (long) (heapBytes * AdmissionConstants.MIN_JOB_HEAP_SHARE);
    return Math.max(usableBytes - otherBytes, minBytes);
  }

  /**
   * Reserves room for a job until {@link #release}.
   *
   * @return null if there is room, otherwise why there is none; nothing is reserved then
   */
  public Refusal reserve(JobSpec spec) {
    if (isAnyUnderPressure()) {
      return Refusal.UNDER_PRESSURE;
    }
    long bytes = BacklogSize.bytesOf(spec);
    if (backlog.bytes() + reservedBytes + bytes > smallestJobBytes()) {
      return Refusal.BUDGET_SPENT;
    }
    reservedBytes += bytes;
    return null;
  }

  /** Ends a reservation: the job counts as live by now, or was not accepted. */
  public void release(JobSpec spec) {
    reservedBytes -= BacklogSize.bytesOf(spec);
  }

  private boolean isAnyUnderPressure() {
    long nowMs = eventLoop.nowMs();
    return pressure.isUnderPressure()
        || peers.values().stream()
            .anyMatch(
                peer ->
                    peer.status.underPressure()
                        && nowMs - peer.heardAtMs < AdmissionConstants.PEER_PRESSURE_MS);
  }

  /**
   * The smallest figure of all controllers; a silent peer's counts, since it may return and lead.
   */
  private long smallestJobBytes() {
    long smallest = ownJobBytes;
    for (PeerMemory peer : peers.values()) {
      smallest = Math.min(smallest, peer.status.jobBytes());
    }
    return smallest;
  }

  // ---------------------------------------------------------------- heartbeats

  @Override
  public PeerHeartbeat extendHeartbeat(String member, PeerHeartbeat heartbeat) {
    return heartbeat.withMemory(ownStatus());
  }

  @Override
  public PeerHeartbeat extendAnswer(PeerHeartbeat heartbeat, PeerHeartbeat answer) {
    record(heartbeat);
    return answer.withMemory(ownStatus());
  }

  @Override
  public void onAnswer(String member, PeerHeartbeat answer, long sentAtMs) {
    record(answer);
  }

  private MemoryStatus ownStatus() {
    return new MemoryStatus(ownJobBytes, pressure.isUnderPressure());
  }

  private void record(PeerHeartbeat heartbeat) {
    if (heartbeat.memory() == null) {
      peers.remove(heartbeat.member());
    } else {
      peers.put(heartbeat.member(), new PeerMemory(heartbeat.memory(), eventLoop.nowMs()));
    }
  }
}
