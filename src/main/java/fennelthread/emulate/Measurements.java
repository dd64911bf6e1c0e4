package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.HistoryEvent.Began;
import fennelthread.emulate.HistoryEvent.Ended;
import fennelthread.emulate.HistoryEvent.Running;
import fennelthread.emulate.HistoryEvent.Submits;
import fennelthread.emulate.HistoryEvent.Told;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** The times that users and tasks waited, and how many tasks wait, run and ended. */
final class Measurements {
  private static final class Job {
    final JobSpec spec;
    final long submittedNanos;
    final boolean measured;
    final BitSet begun = new BitSet();
    final BitSet ran = new BitSet();
    long lastCompletedNanos;
    boolean accepted;
    boolean over;

    Job(JobSpec spec, long submittedNanos, boolean measured) {
      this.spec = spec;
      this.submittedNanos = submittedNanos;
      this.measured = measured;
    }
  }

  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, Histogram> histograms = new TreeMap<>();
  private long measureFromNanos = Long.MAX_VALUE;
  private long begun;
  private long restarted;
  private long completed;
  private long waiting;

  /** Measures what is submitted from this moment on. */
  synchronized void measureFrom(long nanos) {
    measureFromNanos = nanos;
  }

  /** Counts so far; {@code waiting} is how many tasks of accepted jobs have not begun. */
  record Counts(long begun, long restarted, long completed, long waiting) {
    /** Starts, repeated ones included. */
    long starts() {
      return begun + restarted;
    }
  }

  synchronized Counts counts() {
    return new Counts(begun, restarted, completed, waiting);
  }

  /** Copies of all histograms, in microseconds, by name. */
  synchronized Map<String, Histogram> histograms() {
    Map<String, Histogram> copies = new TreeMap<>();
    histograms.forEach((name, histogram) -> copies.put(name, histogram.copy()));
    return copies;
  }

  /** Records the answer to a submission. */
  synchronized void answered(String request, long nanos) {
    record("answer/" + request, nanos);
  }

  private void record(String name, long nanos) {
    histograms
        .computeIfAbsent(
            name,
            k ->
                new Histogram(
                    EmulationConstants.MAX_HISTOGRAM_US, EmulationConstants.HISTOGRAM_DIGITS))
        .recordValue(
            Math.min(EmulationConstants.MAX_HISTOGRAM_US, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  private void recordWait(String what, Job job, long nanos) {
    if (job.measured) {
      long waited = nanos - job.submittedNanos;
      record(what + "/priority/" + job.spec.priority().wireName(), waited);
      record(what + "/class/" + job.spec.jobClass(), waited);
    }
  }

  /** Takes the next event in the order of time. */
  synchronized void accept(HistoryEvent event) {
    if (event instanceof Submits e) {
      jobs.put(e.job().id(), new Job(e.job(), e.nanos(), e.nanos() >= measureFromNanos));
    } else if (event instanceof Told e) {
      told(e);
    } else if (event instanceof Began e) {
      began(e);
    } else if (event instanceof Running e) {
      running(e);
    } else if (event instanceof Ended e) {
      ended(e);
    }
  }

  private void told(Told e) {
    Job job = jobs.get(e.job());
    if (job == null || job.over) {
      return;
    }
    if (!job.accepted) {
      job.accepted = true;
      waiting += job.spec.tasks() - job.begun.cardinality();
      recordWait("accepted", job, e.nanos());
    }
    if (e.state().equals(JobState.DONE.wireName())) {
      job.over = true;
      recordWait("done", job, e.nanos());
      if (job.measured && job.lastCompletedNanos != 0) {
        record("last task to done", e.nanos() - job.lastCompletedNanos);
      }
    } else if (e.state().equals(JobState.CANCELLED.wireName())) {
      job.over = true;
      waiting -= job.spec.tasks() - job.begun.cardinality();
    }
  }

  private void began(Began e) {
    Job job = jobs.get(e.task().job());
    if (job == null) {
      return;
    }
    if (job.begun.get(e.task().index())) {
      restarted++;
      return;
    }
    job.begun.set(e.task().index());
    begun++;
    waiting -= job.accepted && !job.over ? 1 : 0;
    recordWait("started", job, e.nanos());
  }

  private void running(Running e) {
    Job job = jobs.get(e.task().job());
    if (job != null && !job.ran.get(e.task().index())) {
      job.ran.set(e.task().index());
      recordWait("running", job, e.nanos());
    }
  }

  private void ended(Ended e) {
    Job job = jobs.get(e.task().job());
    if (job != null && e.completed()) {
      completed++;
      job.lastCompletedNanos = e.nanos();
    }
  }
}
