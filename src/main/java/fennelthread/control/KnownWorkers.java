package fennelthread.control;

import fennelthread.constants.PeerConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.wire.WorkerReport;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The workers that a follower knows, so that it can probe them at once when it is elected: their
 * addresses, from reports and from the leader's heartbeats, and which of them have reported to this
 * controller lately. Bounded by {@link RelayConstants#KNOWN_ADDRESSES}.
 */
public final class KnownWorkers {
  private final Map<String, String> addresses = new LinkedHashMap<>();
  private final Map<String, Long> reportedAtMs = new LinkedHashMap<>();

  /** Records a report that a worker sent here although another controller leads. */
  void recordReport(WorkerReport report, long nowMs) {
    reportedAtMs.put(report.machine(), nowMs);
    addresses.put(report.machine(), report.address());
    evictOldest();
  }

  /** Applies a heartbeat of the leader: addresses of workers, and names of those that are gone. */
  public void updateFromLeader(Map<String, String> reporting, Collection<String> gone) {
    addresses.putAll(reporting);
    gone.forEach(addresses::remove);
    evictOldest();
  }

  private void evictOldest() {
    while (addresses.size() > RelayConstants.KNOWN_ADDRESSES) {
      addresses.remove(addresses.keySet().iterator().next());
    }
  }

  /** Forgets reports that are no longer recent; their addresses stay. */
  void forgetOldReports(long nowMs) {
    reportedAtMs.values().removeIf(reportedAt -> nowMs - reportedAt > PeerConstants.PEER_SILENT_MS);
  }

  /** The number of workers that have reported here lately. */
  public int recentReporters() {
    return reportedAtMs.size();
  }

  /** The number of known addresses. */
  public int addressCount() {
    return addresses.size();
  }

  /** A copy of the addresses by machine name, in the order in which the machines became known. */
  public Map<String, String> addresses() {
    return new LinkedHashMap<>(addresses);
  }
}
