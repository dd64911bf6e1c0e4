package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.settings.Settings;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Users who send redundant or invalid requests: they repeat submissions of unfinished jobs, cancel
 * jobs that are done, and submit jobs that can't run or lack a field.
 */
final class OddRequests {

  /** The ways in which a request is redundant or invalid. */
  enum Kind {
    REPEATED,
    REPEATED_WITHOUT_FIELD,
    CANCELLED_WHEN_DONE,
    FITS_NO_TYPE,
    WITHOUT_FIELD,
    EXCEEDS_LIMIT
  }

  private final SimulatedCluster cluster;
  private final SimulatedNetwork network;
  private boolean isActive;

  /** Number of requests sent of each kind, not counting retries. */
  final Map<Kind, Integer> sent = new LinkedHashMap<>();

  /** Number of invalid submissions that were refused with status 400 or 422. */
  int refused;

  OddRequests(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.network = cluster.world;
  }

  /** Sends odd requests for {@code forMs}, one every 100 to 600 ms. */
  void begin(long forMs) {
    isActive = true;
    network.after(forMs, () -> isActive = false);
    scheduleNext();
  }

  private void scheduleNext() {
    long pauseMs =
        (long) SimulationConstants.MIN_ODD_REQUEST_PAUSE_MS
            + network.faults.nextInt(
                SimulationConstants.MAX_ODD_REQUEST_PAUSE_MS
                    - SimulationConstants.MIN_ODD_REQUEST_PAUSE_MS);
    network.after(
        pauseMs,
        () -> {
          if (isActive) {
            send(Kind.values()[network.faults.nextInt(Kind.values().length)]);
            scheduleNext();
          }
        });
  }

  private void send(Kind kind) {
    switch (kind) {
      case REPEATED -> repeat(kind, false);
      case REPEATED_WITHOUT_FIELD -> repeat(kind, true);
      case CANCELLED_WHEN_DONE -> cancelDone(kind);
      case FITS_NO_TYPE -> submitInvalid(kind, unsatisfiableJob());
      case WITHOUT_FIELD -> submitInvalid(kind, withoutField(newJob().write()));
      case EXCEEDS_LIMIT -> exceedLimit(kind);
    }
  }

  private void count(Kind kind) {
    sent.merge(kind, 1, Integer::sum);
  }

  private void repeat(Kind kind, boolean omitsField) {
    JobSpec job =
        pickJob(
            spec -> cluster.checker.isAccepted(spec.id()) && !cluster.checker.isOver(spec.id()));
    if (job != null) {
      count(kind);
      Fields body = job.write();
      cluster.submitAt(
          pickMember(), job.id(), omitsField ? withoutField(body) : body, answer -> {});
    }
  }

  private void cancelDone(Kind kind) {
    JobSpec job = pickJob(spec -> cluster.checker.isReportedDone(spec.id()));
    if (job != null) {
      count(kind);
      cluster.cancelAt(pickMember(), job.id());
    }
  }

  private void exceedLimit(Kind kind) {
    JobSpec job = newJob();
    Settings.Team team = cluster.settings.teams().get(job.team());
    if (team.cpusMax() > 0) {
      long replicas = (long) Math.ceil(team.cpusMax()) + 1;
      submitInvalid(
          kind, job.write().with("tipo", "standing").with("cpus", 1.0).with("tareas", replicas));
    }
  }

  private Fields unsatisfiableJob() {
    Fields body = newJob().write();
    return switch (network.faults.nextInt(4)) {
      case 0 -> body.with("cpus", SimulationConstants.UNSATISFIABLE_AMOUNT);
      case 1 -> body.with("mem_gb", SimulationConstants.UNSATISFIABLE_AMOUNT);
      case 2 -> body.with("modelos", List.of("ninguno"));
      default -> body.with("zona", "ninguna");
    };
  }

  /** A job with a new id that fits any machine; its team is drawn from the faults' generator. */
  private JobSpec newJob() {
    return cluster.nextOddJob();
  }

  private Fields withoutField(Fields complete) {
    List<String> required = new ArrayList<>(complete.map().keySet());
    required.removeIf(
        name -> complete.map().get(name) == null || name.equals("name_id") || isOptional(name));
    Map<String, Object> remaining = new LinkedHashMap<>(complete.map());
    remaining.remove(required.get(network.faults.nextInt(required.size())));
    return new Fields(remaining);
  }

  /** True for fields that may be null and therefore absent. */
  private static boolean isOptional(String name) {
    return List.of("modelos", "zona", "plazo_s", JobSpec.DEPENDENCIES).contains(name);
  }

  private void submitInvalid(Kind kind, Fields body) {
    count(kind);
    String id = (String) body.map().get("name_id");
    cluster.checker.recordInvalidSubmission(id);
    submitInvalid(id, body, SimulationConstants.MAX_ODD_REQUEST_TRIES);
  }

  /**
   * Submits an invalid job, at most {@code triesLeft} times, until it is refused as invalid; then
   * asks about it.
   */
  private void submitInvalid(String id, Fields body, int triesLeft) {
    cluster.submitAt(
        pickMember(),
        id,
        body,
        answer -> {
          if (answer != null && (answer.status() == 400 || answer.status() == 422)) {
            refused++;
            cluster.askAt(pickMember(), id);
          } else if (triesLeft > 1) {
            network.after(1_000, () -> submitInvalid(id, body, triesLeft - 1));
          }
        });
  }

  private JobSpec pickJob(Predicate<JobSpec> condition) {
    List<JobSpec> candidates = cluster.jobs.stream().filter(condition).toList();
    return candidates.isEmpty() ? null : candidates.get(network.faults.nextInt(candidates.size()));
  }

  private String pickMember() {
    List<String> members = List.copyOf(cluster.controllers().keySet());
    return members.get(network.faults.nextInt(members.size()));
  }
}
