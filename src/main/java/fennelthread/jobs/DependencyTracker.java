package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the dependency graph up to date on every controller, whether or not it leads, so that a new
 * leader need not read anything first. Jobs are added and removed as the replica changes. Final
 * records that other controllers wrote are read from the state service, a few at a time, and again
 * after a pause until they are found.
 */
public final class DependencyTracker implements JobTable.Listener, DependencyGraph.Listener {
  private static final Logger log = LoggerFactory.getLogger(DependencyTracker.class);

  private final EventLoop eventLoop;
  private final JobTable table;
  private final FinalRecords finalRecords;
  private final DependencyGraph graph;
  private final DependencyGraph.KnownJobs knownJobs = new LocallyKnownJobs();
  private final Set<String> requestedIds = new HashSet<>();
  private final List<DependencyGraph.Listener> listeners = new ArrayList<>();
  private int readsInFlight;

  DependencyTracker(
      EventLoop eventLoop, JobTable table, Settings settings, FinalRecords finalRecords) {
    this.eventLoop = eventLoop;
    this.table = table;
    this.finalRecords = finalRecords;
    this.graph = new DependencyGraph(settings::lastDeadlineS, this);
    table.addListener(this);
  }

  /** The graph; callers must not change it. */
  public DependencyGraph graph() {
    return graph;
  }

  /** Adds a listener for changes of the graph. */
  public void addListener(DependencyGraph.Listener listener) {
    listeners.add(listener);
  }

  /** Removes a listener. */
  public void removeListener(DependencyGraph.Listener listener) {
    listeners.remove(listener);
  }

  @Override
  public void onJobAdded(Job job) {
    graph.add(job, knownJobs);
    readUnresolved();
  }

  @Override
  public void onJobRemoved(Job job) {
    String id = job.spec().id();
    graph.remove(id);
    finalRecords.cached(id).ifPresent(record -> graph.onFinalRecord(id, record));
    readUnresolved();
  }

  private void readUnresolved() {
    for (String id : List.copyOf(graph.unresolvedDependencies())) {
      if (readsInFlight >= JobConstants.MAX_CONCURRENT_FINAL_READS) {
        return;
      }
      if (requestedIds.add(id)) {
        readsInFlight++;
        finalRecords.read(id, found -> onRead(id, found));
      }
    }
  }

  private void onRead(String id, LookupResult found) {
    readsInFlight--;
    if (found instanceof FinalRecord) {
      requestedIds.remove(id);
      readUnresolved();
      return;
    }
    // The state service is unavailable, or the job is live and the replica lags behind: read again
    // after a pause. An immediate read could recurse, since a request that a full queue rejects
    // fails before the call returns.
    double jitter = 1 + ProtocolConstants.PAUSE_JITTER_SHARE * eventLoop.random().nextDouble();
    eventLoop.after(
        (long) (JobConstants.FINAL_READ_RETRY_MS * jitter),
        () -> {
          requestedIds.remove(id);
          readUnresolved();
        });
  }

  @Override
  public void onPhaseChanged(Job job, DependencyGraph.Phase phase) {
    log.debug("job dependency phase changed job={} phase={}", job.spec().id(), phase);
    List.copyOf(listeners).forEach(listener -> listener.onPhaseChanged(job, phase));
  }

  @Override
  public void onInheritedPriorityChanged(String id) {
    List.copyOf(listeners).forEach(listener -> listener.onInheritedPriorityChanged(id));
  }

  private final class LocallyKnownJobs implements DependencyGraph.KnownJobs {
    @Override
    public boolean isLive(String id) {
      return table.get(id) != null;
    }

    @Override
    public Optional<FinalRecord> finalRecord(String id) {
      return finalRecords.cached(id);
    }
  }
}
