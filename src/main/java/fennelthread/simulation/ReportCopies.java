package fennelthread.simulation;

import fennelthread.net.Call;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Keeps copies of workers' reports until a controller has claimed the leadership, and hands them to
 * every controller then. The answers to copies reach nobody.
 */
final class ReportCopies {
  private static final String REPORT_PATH = "/agent/beat";
  private static final String CLAIM_KEY = "live/lead";

  private record Kept(String worker, Call report, long afterClaimMs) {}

  private final SimulatedNetwork world;
  private final Collection<String> controllers;
  private final List<Kept> kept = new ArrayList<>();
  private double share;
  private long afterClaimMs;
  private int handed;

  /**
   * Creates it without any copies.
   *
   * @param controllers the addresses that workers report to
   */
  ReportCopies(SimulatedNetwork world, StateEmulator state, Collection<String> controllers) {
    this.world = world;
    this.controllers = controllers;
    world.requestFaults.onRequest(this::keepPerhaps);
    state.onWrite.add(this::handAfterClaim);
  }

  /**
   * Keeps copies of that share of the reports that are sent from now on.
   *
   * @param claimDelayMs how long after the next claim each copy is delivered; 0: as it is applied
   */
  void keep(double ofReports, long forMs, long claimDelayMs) {
    share = ofReports;
    afterClaimMs = claimDelayMs;
    world.after(forMs, () -> share = 0);
  }

  /** How many copies wait for a claim. */
  int waiting() {
    return kept.size();
  }

  /** How many copies were delivered, one for each controller. */
  int delivered() {
    return handed;
  }

  private void keepPerhaps(String from, String to, Call call) {
    if (share > 0 && call.path().equals(REPORT_PATH) && world.faults.nextDouble() < share) {
      kept.add(new Kept(from, call, afterClaimMs));
    }
  }

  private void handAfterClaim(String key) {
    if (!key.equals(CLAIM_KEY)) {
      return;
    }
    for (Kept copy : kept) {
      world.after(copy.afterClaimMs, () -> handToAll(copy));
    }
    kept.clear();
  }

  private void handToAll(Kept copy) {
    for (String controller : controllers) {
      handed += world.deliver(copy.worker, controller, copy.report) ? 1 : 0;
    }
  }
}
