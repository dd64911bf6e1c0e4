package fennelthread.jobs;

import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the dependency graph up to date on every controller, whether or not it leads, so that a new
 * leader need not read anything first. Jobs are added and removed as the replica changes; {@link
 * DependencyResolver} reads the final records that other controllers wrote.
 */
public final class DependencyTracker implements JobTable.Listener, DependencyGraph.Listener {
  private static final Logger log = LoggerFactory.getLogger(DependencyTracker.class);

  private final JobTable table;
  private final FinalRecords finalRecords;
  private final DependencyGraph graph;
  private final DependencyResolver resolver;
  private final DependencyGraph.KnownJobs knownJobs = new LocallyKnownJobs();
  private final List<DependencyGraph.Listener> listeners = new ArrayList<>();

  DependencyTracker(
      EventLoop eventLoop,
      Replica replica,
      JobTable table,
      Settings settings,
      FinalRecords finalRecords) {
    this.table = table;
    this.finalRecords = finalRecords;
    this.graph = new DependencyGraph(settings::lastDeadlineS, this);
    this.resolver = new DependencyResolver(eventLoop, replica, finalRecords, graph);
    table.addListener(this);
  }

  /** The graph; callers must not change it. */
  public DependencyGraph graph() {
    return graph;
  }

  /** Finds out what has become of dependencies. */
  DependencyResolver resolver() {
    return resolver;
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
    resolver.readUnresolved();
  }

  @Override
  public void onJobRemoved(Job job) {
    String id = job.spec().id();
    graph.remove(id);
    finalRecords.cached(id).ifPresent(record -> graph.onFinalRecord(id, record));
    resolver.readUnresolved();
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
