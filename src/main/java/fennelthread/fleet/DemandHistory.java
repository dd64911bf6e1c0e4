package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayList;
import java.util.List;

/** The demand for CPUs over the last minutes, one sample a second at most. */
final class DemandHistory {
  private static final class Sample {
    final long atMs;
    double cpus;

    Sample(long atMs, double cpus) {
      this.atMs = atMs;
      this.cpus = cpus;
    }
  }

  private final List<Sample> samples = new ArrayList<>();

  /** Records the demand of the moment; of values within one sample's time the highest counts. */
  void record(double cpus, long nowMs) {
    samples.removeIf(sample -> sample.atMs < nowMs - FleetConstants.DEMAND_WINDOW_MS);
    Sample last = samples.isEmpty() ? null : samples.get(samples.size() - 1);
    if (last != null && nowMs - last.atMs < FleetConstants.DEMAND_SAMPLE_MS) {
      last.cpus = Math.max(last.cpus, cpus);
    } else {
      samples.add(new Sample(nowMs, cpus));
    }
  }

  /** Returns the highest demand that is remembered, CPUs. */
  double peakCpus() {
    double peak = 0;
    for (Sample sample : samples) {
      peak = Math.max(peak, sample.cpus);
    }
    return peak;
  }
}
