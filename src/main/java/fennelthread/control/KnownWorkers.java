package fennelthread.control;

import fennelthread.constants.PeerConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.wire.WorkerReport;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The workers that a follower knows, in case it has to lead: the addresses that reports and the
 * leader's heartbeats named, and which workers have reported here lately. Bounded in number.
 */
public final class KnownWorkers {
  private final Map<String, String> addresses = new LinkedHashMap<>();
  private final Map<String, Long> reportedAtMs = new LinkedHashMap<>();

  /** Notes a report that came here although another controller leads. */
  void reported(WorkerReport report, long nowMs) {
    reportedAtMs.put(report.machine(), nowMs);
    addresses.put(report.machine(), report.address());
    trim();
  }

  /** Takes over what the leader says of its workers: their addresses, and which are gone. */
  public void update(Map<String, String> workers, Collection<String> gone) {
    addresses.putAll(workers);
    gone.forEach(addresses::remove);
    trim();
  }

  private void trim() {
    while (addresses.size() > RelayConstants.KNOWN_ADDRESSES) {
      addresses.remove(addresses.keySet().iterator().next());
    }
  }

  /** Forgets reports that are no longer recent; their addresses stay. */
  void forgetOldReports(long nowMs) {
    reportedAtMs.values().removeIf(at -> nowMs - at > PeerConstants.PEER_SILENT_MS);
  }

  /** The number of workers that have reported here lately. */
  public int reporting() {
    return reportedAtMs.size();
  }

  /** The number of known addresses. */
  public int size() {
    return addresses.size();
  }

  /** A copy of the addresses, by machine, in the order in which the machines became known. */
  public Map<String, String> addresses() {
    return new LinkedHashMap<>(addresses);
  }
}
