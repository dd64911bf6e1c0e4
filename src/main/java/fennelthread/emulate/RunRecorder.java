package fennelthread.emulate;

import fennelthread.emulate.ProcessSampler.Usage;
import fennelthread.emulate.RunReport.ProcessUse;
import fennelthread.emulate.RunReport.Sample;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Collects a run's figures second by second and sums them up. Used by one thread. */
final class RunRecorder {
  /** Counters of the whole run at one moment. */
  record Totals(
      Measurements.Counts tasks,
      int present,
      WorkerTraffic traffic,
      long stateRequests,
      long stateChanges,
      long stateBytes) {}

  private static final class Tracked {
    long pid;
    Usage last = Usage.NONE;
    double cpuS;
    double cpuMax;
    double waitedS;
    double waitedNow;
    long residentMax;
    int descriptorsMax;
    long readBytes;
    long writtenBytes;
    double cpuNow;

    /** Adds what was used since the last look; a new process begins at zero. */
    void add(long newPid, Usage usage, double seconds) {
      Usage before = newPid == pid ? last : Usage.NONE;
      if (usage.equals(Usage.NONE)) {
        cpuNow = 0;
        waitedNow = 0;
        return;
      }
      pid = newPid;
      last = usage;
      cpuNow = (usage.cpuS() - before.cpuS()) / seconds;
      cpuS += usage.cpuS() - before.cpuS();
      cpuMax = Math.max(cpuMax, cpuNow);
      // Threads that have ended take their share with them.
      waitedNow = Math.max(0, usage.waitedS() - before.waitedS()) / seconds;
      waitedS += waitedNow * seconds;
      residentMax = Math.max(residentMax, usage.residentBytes());
      descriptorsMax = Math.max(descriptorsMax, usage.descriptors());
      readBytes += usage.readBytes() - before.readBytes();
      writtenBytes += usage.writtenBytes() - before.writtenBytes();
    }
  }

  private final Map<String, Tracked> processes = new LinkedHashMap<>();
  private final List<Sample> series = new ArrayList<>();
  private Totals first;
  private Totals last;
  private double runningSum;
  private double loadMax;
  private int keysMax;

  /** Takes what processes used before the run out of the figures. */
  void baseline(Map<String, Long> pids, Totals totals) {
    pids.forEach(
        (name, pid) -> {
          Tracked tracked = new Tracked();
          tracked.pid = pid;
          tracked.last = ProcessSampler.sample(pid);
          processes.put(name, tracked);
        });
    first = totals;
    last = totals;
  }

  /** Looks at all processes; the sum of their memory in bytes. */
  long observe(Map<String, Long> pids, double seconds) {
    long resident = 0;
    for (Map.Entry<String, Long> e : pids.entrySet()) {
      Usage usage = ProcessSampler.sample(e.getValue());
      processes.computeIfAbsent(e.getKey(), k -> new Tracked()).add(e.getValue(), usage, seconds);
      resident += usage.residentBytes();
    }
    return resident;
  }

  /** Adds a second to the series. */
  Sample sample(
      double atS,
      double seconds,
      int workers,
      Totals totals,
      EmulatedStateService.Leader leader,
      int keys,
      List<String> controllers) {
    double load = ProcessSampler.loadAverage();
    List<Double> cpu = new ArrayList<>();
    List<Double> waited = new ArrayList<>();
    List<Double> memory = new ArrayList<>();
    List<Integer> sockets = new ArrayList<>();
    for (String name : controllers) {
      Tracked tracked = processes.get(name);
      cpu.add(round(tracked.cpuNow, 3));
      waited.add(round(tracked.waitedNow, 3));
      memory.add(round(tracked.last.residentBytes() / 1e6, 1));
      sockets.add(tracked.last.descriptors());
    }
    Sample sample =
        new Sample(
            round(atS, 2),
            workers,
            perSecond(totals.tasks.starts() - last.tasks.starts(), seconds),
            perSecond(totals.tasks.completed() - last.tasks.completed(), seconds),
            totals.present,
            totals.tasks.waiting(),
            leader.member(),
            leader.epoch(),
            perSecond(totals.stateRequests - last.stateRequests, seconds),
            perSecond(totals.stateChanges - last.stateChanges, seconds),
            perSecond(totals.traffic.reports() - last.traffic.reports(), seconds),
            cpu,
            waited,
            memory,
            sockets,
            load);
    series.add(sample);
    last = totals;
    runningSum += totals.present;
    loadMax = Math.max(loadMax, load);
    keysMax = Math.max(keysMax, keys);
    return sample;
  }

  private static long perSecond(long count, double seconds) {
    return Math.round(count / seconds);
  }

  static double round(double value, int digits) {
    double scale = Math.pow(10, digits);
    return Math.round(value * scale) / scale;
  }

  List<Sample> series() {
    return List.copyOf(series);
  }

  double loadMax() {
    return loadMax;
  }

  /** Starts over the run. */
  RunReport.Starts starts(double durationS) {
    long total = last.tasks.starts() - first.tasks.starts();
    double best = 0;
    for (int i = 10; i <= series.size(); i++) {
      best =
          Math.max(
              best,
              series.subList(i - 10, i).stream().mapToLong(Sample::starts).average().orElse(0));
    }
    return new RunReport.Starts(
        total,
        round(total / durationS, 1),
        round(best, 1),
        last.tasks.restarted() - first.tasks.restarted(),
        round(runningSum / Math.max(1, series.size()), 1));
  }

  /** What the state service carried over the run. */
  RunReport.StateUse state(double durationS, EmulatedStateService service) {
    long starts = Math.max(1, last.tasks.starts() - first.tasks.starts());
    long requests = last.stateRequests - first.stateRequests;
    long changes = last.stateChanges - first.stateChanges;
    return new RunReport.StateUse(
        round(requests / durationS, 1),
        round(changes / durationS, 1),
        round((double) requests / starts, 3),
        round((double) changes / starts, 3),
        service.refusedAsTooMany.get(),
        service.refusedAsMalformed.get(),
        round((last.stateBytes - first.stateBytes) / durationS / 1e3, 1),
        keysMax);
  }

  /** What control cost for each worker. */
  RunReport.PerWorker perWorker(double durationS, int workers, List<String> controllers) {
    double cpuS = 0;
    double bytes = 0;
    for (String name : controllers) {
      Tracked tracked = processes.get(name);
      cpuS += tracked.cpuS;
      bytes += tracked.readBytes + tracked.writtenBytes;
    }
    double workerSeconds = workers * durationS;
    WorkerTraffic a = first.traffic;
    WorkerTraffic b = last.traffic;
    return new RunReport.PerWorker(
        round(100 * cpuS / workerSeconds, 4),
        round(bytes / workerSeconds, 1),
        round((b.reports() - a.reports()) / workerSeconds, 3),
        round((b.reportBytes() - a.reportBytes()) / workerSeconds, 1),
        round((b.failedReports() - a.failedReports()) / workerSeconds, 4),
        round((b.commandRequests() - a.commandRequests()) / workerSeconds, 3),
        b.expiredLeases() - a.expiredLeases());
  }

  /** What processes used over the run. */
  List<ProcessUse> processes(double durationS) {
    List<ProcessUse> list = new ArrayList<>();
    processes.forEach(
        (name, t) ->
            list.add(
                new ProcessUse(
                    name,
                    round(t.cpuS / durationS, 3),
                    round(t.cpuMax, 3),
                    round(t.waitedS / durationS, 3),
                    round(t.residentMax / 1e6, 1),
                    t.descriptorsMax,
                    round(t.readBytes / durationS / 1e3, 1),
                    round(t.writtenBytes / durationS / 1e3, 1))));
    return list;
  }

  /** The distributions of waiting times. */
  static Map<String, RunReport.Waits> waits(Map<String, Histogram> histograms) {
    Map<String, RunReport.Waits> waits = new LinkedHashMap<>();
    histograms.forEach(
        (name, h) ->
            waits.put(
                name,
                new RunReport.Waits(
                    h.getTotalCount(),
                    round(h.getValueAtPercentile(50) / 1e3, 1),
                    round(h.getValueAtPercentile(90) / 1e3, 1),
                    round(h.getValueAtPercentile(99) / 1e3, 1),
                    round(h.getMaxValue() / 1e3, 1))));
    return waits;
  }
}
