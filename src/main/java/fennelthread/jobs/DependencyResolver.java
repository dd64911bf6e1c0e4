package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.Replica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Finds out what has become of the dependencies of live jobs. Final records that other controllers
 * wrote are read from the state service: a few at a time in the background, and at once if a user
 * waits for an answer that depends on them. Used on the event loop's thread only.
 */
final class DependencyResolver {
  /** A caller that waits for the final records of some jobs. */
  private record PendingResolution(
      Collection<String> ids, Set<String> missingRecords, Consumer<Boolean> done) {}

  private final EventLoop eventLoop;
  private final Replica replica;
  private final FinalRecords finalRecords;
  private final DependencyGraph graph;
  private final Set<String> readsInFlight = new HashSet<>();
  private final Set<String> pausedIds = new HashSet<>();
  private final List<PendingResolution> pendingResolutions = new ArrayList<>();

  DependencyResolver(
      EventLoop eventLoop, Replica replica, FinalRecords finalRecords, DependencyGraph graph) {
    this.eventLoop = eventLoop;
    this.replica = replica;
    this.finalRecords = finalRecords;
    this.graph = graph;
  }

  /**
   * Brings the graph up to date for some jobs: afterwards it knows of every cancellation before
   * {@code asOfMs} of one of these jobs or of a job that they depend on, directly or not.
   *
   * @param asOfMs ms of the event loop's clock; not in the future
   * @param done called once, possibly before this returns: with false if the state service could
   *     not be read
   */
  void resolve(Collection<String> ids, long asOfMs, Consumer<Boolean> done) {
    replica.awaitCurrentAsOf(
        asOfMs,
        isCurrent -> {
          if (isCurrent) {
            awaitFinalRecords(ids, done);
          } else {
            done.accept(false);
          }
        });
  }

  private void awaitFinalRecords(Collection<String> ids, Consumer<Boolean> done) {
    Set<String> missingRecords = graph.unresolvedAmong(ids);
    if (missingRecords.isEmpty()) {
      done.accept(true);
      return;
    }
    pendingResolutions.add(new PendingResolution(ids, missingRecords, done));
    readUnresolved();
  }

  /** Reads final records that are missing: first those that a caller waits for. */
  void readUnresolved() {
    for (PendingResolution resolution : List.copyOf(pendingResolutions)) {
      for (String id : List.copyOf(resolution.missingRecords)) {
        if (readsInFlight.size() >= JobConstants.MAX_CONCURRENT_URGENT_FINAL_READS) {
          return;
        }
        read(id);
      }
    }
    if (readsInFlight.size() >= JobConstants.MAX_CONCURRENT_FINAL_READS) {
      return;
    }
    for (String id : List.copyOf(graph.unresolvedDependencies())) {
      if (readsInFlight.size() >= JobConstants.MAX_CONCURRENT_FINAL_READS) {
        return;
      }
      if (!pausedIds.contains(id)) {
        read(id);
      }
    }
  }

  private void read(String id) {
    if (readsInFlight.add(id)) {
      finalRecords.read(id, found -> onRead(id, found));
    }
  }

  private void onRead(String id, LookupResult found) {
    readsInFlight.remove(id);
    if (found instanceof FinalRecord) {
      completeResolutions(id);
      readUnresolved();
      return;
    }
    // The state service is unavailable, or the job is live and the replica lags behind: read again
    // after a pause. An immediate read could recurse, since a request that a full queue rejects
    // fails before the call returns.
    pausedIds.add(id);
    double jitter = 1 + ProtocolConstants.PAUSE_JITTER_SHARE * eventLoop.random().nextDouble();
    eventLoop.after(
        (long) (JobConstants.FINAL_READ_RETRY_MS * jitter),
        () -> {
          pausedIds.remove(id);
          readUnresolved();
        });
    failResolutions(id);
  }

  private void completeResolutions(String id) {
    List<PendingResolution> completed = new ArrayList<>(0);
    pendingResolutions.removeIf(
        resolution ->
            resolution.missingRecords.remove(id)
                && resolution.missingRecords.isEmpty()
                && completed.add(resolution));
    // What was read may have shown further dependencies.
    completed.forEach(resolution -> awaitFinalRecords(resolution.ids, resolution.done));
  }

  private void failResolutions(String id) {
    List<PendingResolution> failed = new ArrayList<>(0);
    pendingResolutions.removeIf(
        resolution -> resolution.missingRecords.contains(id) && failed.add(resolution));
    failed.forEach(resolution -> resolution.done.accept(false));
  }
}
