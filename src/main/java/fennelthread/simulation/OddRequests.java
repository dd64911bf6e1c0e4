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
 * Users who repeat submissions of unfinished jobs, cancel jobs that are done, and submit jobs that
 * can't run or lack a field.
 */
final class OddRequests {

  /** What is odd about a request. */
  enum Kind {
    REPEATED,
    REPEATED_WITHOUT_FIELD,
    CANCELLED_WHEN_DONE,
    FITS_NO_TYPE,
    WITHOUT_FIELD,
    EXCEEDS_LIMIT
  }

  private final SimulatedCluster cluster;
  private final SimulatedNetwork world;
  private boolean on;

  /** How many requests of each kind were sent, repetitions after a failure apart. */
  final Map<Kind, Integer> sent = new LinkedHashMap<>();

  /** How many submissions that can't run or lack a field were refused as such. */
  int refused;

  OddRequests(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.world = cluster.world;
  }

  /** For so long users send odd requests, one or several a second. */
  void begin(long forMs) {
    on = true;
    world.after(forMs, () -> on = false);
    next();
  }

  private void next() {
    long pause =
        (long) SimulationConstants.MIN_ODD_REQUEST_PAUSE_MS
            + world.faults.nextInt(
                SimulationConstants.MAX_ODD_REQUEST_PAUSE_MS
                    - SimulationConstants.MIN_ODD_REQUEST_PAUSE_MS);
    world.after(
        pause,
        () -> {
          if (on) {
            send(Kind.values()[world.faults.nextInt(Kind.values().length)]);
            next();
          }
        });
  }

  private void send(Kind kind) {
    switch (kind) {
      case REPEATED -> repeat(kind, false);
      case REPEATED_WITHOUT_FIELD -> repeat(kind, true);
      case CANCELLED_WHEN_DONE -> cancelDone(kind);
      case FITS_NO_TYPE -> submitInvalid(kind, fitsNoType());
      case WITHOUT_FIELD -> submitInvalid(kind, withoutField(anyJob().write()));
      case EXCEEDS_LIMIT -> exceedLimit(kind);
    }
  }

  private void count(Kind kind) {
    sent.merge(kind, 1, Integer::sum);
  }

  private void repeat(Kind kind, boolean lacksField) {
    JobSpec job =
        pick(spec -> cluster.checker.isAccepted(spec.id()) && !cluster.checker.isOver(spec.id()));
    if (job != null) {
      count(kind);
      Fields body = job.write();
      cluster.submitAt(anyMember(), job.id(), lacksField ? withoutField(body) : body, answer -> {});
    }
  }

  private void cancelDone(Kind kind) {
    JobSpec job = pick(spec -> cluster.checker.isDoneTold(spec.id()));
    if (job != null) {
      count(kind);
      cluster.cancelAt(anyMember(), job.id());
    }
  }

  private void exceedLimit(Kind kind) {
    JobSpec job = anyJob();
    Settings.Team team = cluster.settings.teams().get(job.team());
    if (team.cpusMax() > 0) {
      long replicas = (long) Math.ceil(team.cpusMax()) + 1;
      submitInvalid(
          kind, job.write().with("tipo", "standing").with("cpus", 1.0).with("tareas", replicas));
    }
  }

  private Fields fitsNoType() {
    Fields body = anyJob().write();
    return switch (world.faults.nextInt(4)) {
      case 0 -> body.with("cpus", SimulationConstants.UNSATISFIABLE_AMOUNT);
      case 1 -> body.with("mem_gb", SimulationConstants.UNSATISFIABLE_AMOUNT);
      case 2 -> body.with("modelos", List.of("ninguno"));
      default -> body.with("zona", "ninguna");
    };
  }

  /** A job of a new id that any machine can run; its random parts come from the faults' chance. */
  private JobSpec anyJob() {
    return cluster.nextOddJob();
  }

  private Fields withoutField(Fields whole) {
    List<String> required = new ArrayList<>(whole.map().keySet());
    required.removeIf(
        name -> whole.map().get(name) == null || name.equals("name_id") || isOptional(name));
    Map<String, Object> rest = new LinkedHashMap<>(whole.map());
    rest.remove(required.get(world.faults.nextInt(required.size())));
    return new Fields(rest);
  }

  /** Fields that may be null, and may therefore be absent. */
  private static boolean isOptional(String name) {
    return List.of("modelos", "zona", "plazo_s", JobSpec.DEPENDENCIES).contains(name);
  }

  private void submitInvalid(Kind kind, Fields body) {
    count(kind);
    String id = (String) body.map().get("name_id");
    cluster.checker.recordInvalidSubmission(id);
    submitInvalid(id, body, SimulationConstants.MAX_ODD_REQUEST_TRIES);
  }

  /** Repeats the submission until it is refused for good, then asks about the job. */
  private void submitInvalid(String id, Fields body, int tries) {
    cluster.submitAt(
        anyMember(),
        id,
        body,
        answer -> {
          if (answer != null && (answer.status() == 400 || answer.status() == 422)) {
            refused++;
            cluster.askAt(anyMember(), id);
          } else if (tries > 1) {
            world.after(1_000, () -> submitInvalid(id, body, tries - 1));
          }
        });
  }

  private JobSpec pick(Predicate<JobSpec> which) {
    List<JobSpec> fitting = cluster.jobs.stream().filter(which).toList();
    return fitting.isEmpty() ? null : fitting.get(world.faults.nextInt(fitting.size()));
  }

  private String anyMember() {
    List<String> members = List.copyOf(cluster.controllers().keySet());
    return members.get(world.faults.nextInt(members.size()));
  }
}
