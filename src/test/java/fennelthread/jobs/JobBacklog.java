package fennelthread.jobs;

import fennelthread.settings.Settings;
import fennelthread.state.KeyValue;
import fennelthread.state.Replica;
import fennelthread.state.SizeLimits;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.Map;
import java.util.Optional;

/**
 * The live jobs as each controller holds them, decoded from the bytes of their records: the keys of
 * the replica, the table of jobs and the graph of their dependencies.
 */
public final class JobBacklog {
  private static final SizeLimits LIMITS =
      new SizeLimits(new Settings.StateLimits(500, 300, 16 * 1024, 12));

  private final Replica replica = new Replica(null, null);
  private final JobTable table = new JobTable();
  private final DependencyGraph graph =
      new DependencyGraph(JobSpec::deadlineS, new IgnoredChanges());
  private long revision;

  /** Creates an empty backlog. */
  public JobBacklog() {
    replica.addListener(table);
    table.addListener(new GraphUpdater());
  }

  /** Adds an accepted job, as if another controller had accepted it. */
  public Job add(JobSpec spec) throws WireException {
    revision++;
    for (Map.Entry<String, Fields> record :
        JobRecordCodec.encode(spec, revision, LIMITS).entrySet()) {
      byte[] stored = Codec.JSON.encode(record.getValue());
      replica.applyRead(new KeyValue(record.getKey(), Codec.JSON.decode(stored), revision, 0));
    }
    return table.get(spec.id());
  }

  /** The dependencies among the jobs. */
  public DependencyGraph graph() {
    return graph;
  }

  private final class GraphUpdater implements JobTable.Listener, DependencyGraph.KnownJobs {
    @Override
    public void onJobAdded(Job job) {
      graph.add(job, this);
    }

    @Override
    public void onJobRemoved(Job job) {
      graph.remove(job.spec().id());
    }

    @Override
    public boolean isLive(String id) {
      return table.get(id) != null;
    }

    @Override
    public Optional<FinalRecord> finalRecord(String id) {
      return Optional.empty();
    }
  }

  private static final class IgnoredChanges implements DependencyGraph.Listener {
    @Override
    public void onPhaseChanged(Job job, DependencyGraph.Phase phase) {
      // Nothing follows the phases here.
    }

    @Override
    public void onInheritedPriorityChanged(String id) {
      // Nothing follows the priorities here.
    }
  }
}
