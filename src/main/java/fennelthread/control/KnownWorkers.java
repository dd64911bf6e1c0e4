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
 * controller within {@link PeerConstants#PEER_SILENT_MS}. Holds at most {@link
 * RelayConstants#MAX_KNOWN_WORKERS} addresses. Used on the event loop's thread only.
 */
public final class KnownWorkers {
  private final Map<String, String> addresses = new LinkedHashMap<>();
  private final Map<String, Long> reportedAtMs = new LinkedHashMap<>();

  /** Records a report that a worker sent to this controller while this controller follows. */
  void recordReport(WorkerReport report, long nowMs) {
    reportedAtMs.put(report.machine(), nowMs);
    addresses.put(report.machine(), report.address());
    evictOldestAddresses();
  }

  /** Applies the leader's heartbeat: changed addresses by machine name, and removed machines. */
  public void updateFromLeader(
      Map<String, String> changedAddresses, Collection<String> removedMachines) {
    addresses.putAll(changedAddresses);
    removedMachines.forEach(addresses::remove);
    evictOldestAddresses();
  }

  private void evictOldestAddresses() {
    while (addresses.size() > RelayConstants.MAX_KNOWN_WORKERS) {
      addresses.remove(addresses.keySet().iterator().next());
    }
  }

  /** Forgets reports that are no longer recent; the addresses of their machines stay. */
  void forgetOldReports(long nowMs) {
    reportedAtMs.values().removeIf(reportedAt -> nowMs - reportedAt > PeerConstants.PEER_SILENT_MS);
  }

  /** The number of workers that have recently reported to this controller. */
  public int recentReporterCount() {
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
