package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayList;
import java.util.List;

/** The demand for CPUs over the last minutes, with at most one sample a second. */
final class DemandHistory {
  private static final class DemandSample {
    final long atMs;
    double cpus;

    DemandSample(long atMs, double cpus) {
      this.atMs = atMs;
      this.cpus = cpus;
    }
  }

  private final List<DemandSample> samples = new ArrayList<>();

  /**
   * Records the current demand; of the values within one sampling interval, the highest is kept.
   */
  void record(double cpus, long nowMs) {
    samples.removeIf(sample -> sample.atMs < nowMs - FleetConstants.DEMAND_WINDOW_MS);
    DemandSample last = samples.isEmpty() ? null : samples.get(samples.size() - 1);
    if (last != null && nowMs - last.atMs < FleetConstants.DEMAND_SAMPLE_MS) {
      last.cpus = Math.max(last.cpus, cpus);
    } else {
      samples.add(new DemandSample(nowMs, cpus));
    }
  }

  /** Returns the highest recorded demand, CPUs. */
  double peakCpus() {
    double peak = 0;
    for (DemandSample sample : samples) {
      peak = Math.max(peak, sample.cpus);
    }
    return peak;
  }
}
