package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the graph of needs up to date on every controller, leading or not, so that a new leader
 * need not read first what the old one knew: jobs come and go by the replica, and the final records
 * that nobody here has written are read, few at a time, until they are known.
 */
public final class DependencyTracker implements JobTable.Listener, DependencyGraph.Listener {
  private static final Logger log = LoggerFactory.getLogger(DependencyTracker.class);

  /** Where final records come from. */
  interface Ends {
    /** A final record that was read or written already, or null. */
    FinalRecord known(String id);

    /** Reads one; null if there is none or nothing is known. */
    void read(String id, Consumer<FinalRecord> done);
  }

  private final EventLoop eventLoop;
  private final JobTable table;
  private final Ends ends;
  private final DependencyGraph graph;
  private final Set<String> asked = new HashSet<>();
  private final List<DependencyGraph.Listener> listeners = new ArrayList<>();
  private int reading;

  DependencyTracker(EventLoop eventLoop, JobTable table, Settings settings, Ends ends) {
    this.eventLoop = eventLoop;
    this.table = table;
    this.ends = ends;
    this.graph = new DependencyGraph(settings::lastDeadlineS, this);
    table.addListener(this);
  }

  /** What is known, to be asked and not changed. */
  public DependencyGraph graph() {
    return graph;
  }

  /** Adds a listener. */
  public void addListener(DependencyGraph.Listener listener) {
    listeners.add(listener);
  }

  /** Removes a listener. */
  public void removeListener(DependencyGraph.Listener listener) {
    listeners.remove(listener);
  }

  @Override
  public void onJobAdded(Job job) {
    graph.add(job, id -> table.get(id) != null, ends::known);
    readUnknown();
  }

  @Override
  public void onJobRemoved(Job job) {
    String id = job.spec().id();
    graph.remove(id);
    FinalRecord end = ends.known(id);
    if (end != null) {
      graph.learn(id, end);
    }
    readUnknown();
  }

  /** A final record was read or written here. */
  void learned(String id, FinalRecord end) {
    graph.learn(id, end);
  }

  private void readUnknown() {
    for (String id : List.copyOf(graph.unknown())) {
      if (reading >= JobConstants.END_READS_AT_ONCE) {
        return;
      }
      if (!asked.add(id)) {
        continue;
      }
      reading++;
      ends.read(
          id,
          end -> {
            reading--;
            if (end != null) {
              asked.remove(id);
              readUnknown();
              return;
            }
            // Unreachable, or live in truth and not yet known to be here: asked again later. Never
            // at
            // once, since a refusal for want of room may come before this call returns.
            eventLoop.after(
                (long)
                    (JobConstants.END_READ_PAUSE_MS
                        * (1 + ProtocolConstants.JITTER * eventLoop.random().nextDouble())),
                () -> {
                  asked.remove(id);
                  readUnknown();
                });
          });
    }
  }

  @Override
  public void onPhaseChanged(Job job, DependencyGraph.Phase to) {
    log.debug("{} is {}", job.spec().id(), to);
    List.copyOf(listeners).forEach(l -> l.onPhaseChanged(job, to));
  }

  @Override
  public void onInheritedPriorityChanged(String id) {
    List.copyOf(listeners).forEach(l -> l.onInheritedPriorityChanged(id));
  }
}
