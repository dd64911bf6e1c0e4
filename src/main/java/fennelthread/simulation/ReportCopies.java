package fennelthread.simulation;

import fennelthread.net.Call;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Keeps copies of workers' reports until a controller claims the leadership, and then delivers them
 * to every controller. The answers to copies are dropped.
 */
final class ReportCopies {
  private static final String REPORT_PATH = "/agent/beat";
  private static final String CLAIM_KEY = "live/lead";

  private record KeptReport(String worker, Call report, long afterClaimMs) {}

  private final SimulatedNetwork network;
  private final Collection<String> controllers;
  private final List<KeptReport> keptReports = new ArrayList<>();
  private double share;
  private long afterClaimMs;
  private int delivered;

  /**
   * Creates an instance without copies.
   *
   * @param controllers the addresses that workers report to
   */
  ReportCopies(SimulatedNetwork network, StateEmulator state, Collection<String> controllers) {
    this.network = network;
    this.controllers = controllers;
    network.requestFaults.onRequest(this::maybeKeep);
    state.onWrite.add(this::deliverAfterClaim);
  }

  /**
   * Keeps copies of a share of the reports sent within {@code forMs}.
   *
   * @param claimDelayMs time from the next claim to the delivery of each copy, ms; 0 delivers as
   *     soon as the claim is applied
   */
  void keep(double reportShare, long forMs, long claimDelayMs) {
    share = reportShare;
    afterClaimMs = claimDelayMs;
    network.after(forMs, () -> share = 0);
  }

  /** Number of copies that wait for a claim. */
  int waiting() {
    return keptReports.size();
  }

  /** Number of copies delivered, counted per controller. */
  int delivered() {
    return delivered;
  }

  private void maybeKeep(String from, String to, Call call) {
    if (share > 0 && call.path().equals(REPORT_PATH) && network.faults.nextDouble() < share) {
      keptReports.add(new KeptReport(from, call, afterClaimMs));
    }
  }

  private void deliverAfterClaim(String key) {
    if (!key.equals(CLAIM_KEY)) {
      return;
    }
    for (KeptReport copy : keptReports) {
      network.after(copy.afterClaimMs, () -> deliverToAll(copy));
    }
    keptReports.clear();
  }

  private void deliverToAll(KeptReport copy) {
    for (String controller : controllers) {
      delivered += network.deliver(copy.worker, controller, copy.report) ? 1 : 0;
    }
  }
}
