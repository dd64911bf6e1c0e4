package fennelthread.settings;

import fennelthread.constants.SettingsConstants;
import fennelthread.wire.JobSpec;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The platform's settings, read from a TOML file. Unknown fields are ignored, as the platform
 * requires.
 *
 * @param member the name of this controller
 * @param site the zone that this controller is in
 * @param apiAddr the address to serve users and workers on
 * @param peerAddr the address to serve other controllers on
 * @param peers the other controllers
 * @param cloudAddr the address of the cloud's interface
 * @param stateAddr the address of the state service
 * @param zones the zones in which machines may be rented
 * @param teams the teams by name
 * @param objectives the service-level objectives
 * @param workers the timing of workers
 * @param state the limits of the state service
 * @param cloud the limits of the cloud
 * @param maxConnections most sockets of the process
 */
public record Settings(
    String member,
    String site,
    String apiAddr,
    String peerAddr,
    List<Peer> peers,
    String cloudAddr,
    String stateAddr,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    WorkerTiming workers,
    StateLimits state,
    CloudLimits cloud,
    int maxConnections) {

  /**
   * Another controller.
   *
   * @param site the zone that it is in; empty if the settings don't say
   * @param addr the address on which it serves other controllers
   */
  public record Peer(String member, String site, String addr) {}

  /**
   * A team's guaranteed resources and its limits.
   *
   * @param cpus guaranteed CPUs
   * @param cpusMax limit of CPUs in use; 0 for none
   * @param cards guaranteed GPUs
   * @param cardsMax limit of GPUs in use; 0 for none
   */
  public record Team(String name, double cpus, double cpusMax, double cards, double cardsMax) {}

  /**
   * A service-level objective.
   *
   * @param kind what it is about, such as {@code wait}, {@code finished} or {@code deadline}
   * @param jobClass the class of jobs that it applies to; null if it names none
   * @param withinS a time, seconds; 0 if it states none
   * @param share the share of jobs that must meet it; 0 if it states none
   * @param times a multiple of the job's deadline; 0 if it states none
   */
  public record Objective(
      String kind, String jobClass, double withinS, double share, double times) {}

  /**
   * The timing of workers.
   *
   * @param reportMs the interval of a worker's reports, ms
   * @param leaseMs the time after its last answered report for which a worker runs its tasks, ms
   * @param cancelMs the time within which the tasks of a cancelled job must have stopped, ms
   */
  public record WorkerTiming(long reportMs, long leaseMs, long cancelMs) {}

  /**
   * The limits of the state service. If the settings announce future limits, these are the lower of
   * both, since the change comes without notice.
   *
   * @param rps requests per second
   * @param writeRps changes per second
   * @param valueBytes most bytes of a value
   * @param txnOps most changes in a transaction
   */
  public record StateLimits(double rps, double writeRps, int valueBytes, int txnOps) {

    /** Returns the lower of each limit. */
    StateLimits lowest(StateLimits other) {
      return new StateLimits(
          Math.min(rps, other.rps),
          Math.min(writeRps, other.writeRps),
          Math.min(valueBytes, other.valueBytes),
          Math.min(txnOps, other.txnOps));
    }
  }

  /**
   * The limits of the cloud.
   *
   * @param rps requests per second
   * @param listLagMs the age that its machine list may have, ms
   */
  public record CloudLimits(double rps, long listLagMs) {}

  /** Returns true if some objective limits the time to start of the class. */
  public boolean hasWaitObjective(String jobClass) {
    for (Objective objective : objectives) {
      if (objective.kind().equals("wait") && jobClass.equals(objective.jobClass())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the times from submission by which a job of the class should be done, seconds: its
   * deadline, the multiples of its deadline that objectives state, and the times to completion that
   * objectives state for the class.
   *
   * @param deadlineS the job's deadline, seconds from its submission; not positive if it has none
   * @param waitedS how long the job waited for its dependencies, seconds: only times to completion
   *     count from the end of that wait
   */
  public List<Double> completionTargetsS(String jobClass, double deadlineS, double waitedS) {
    List<Double> times = new ArrayList<>();
    if (deadlineS > 0) {
      times.add(deadlineS);
    }
    for (Objective objective : objectives) {
      if (!jobClass.equals(objective.jobClass())) {
        continue;
      }
      if (objective.kind().equals("finished") && objective.withinS() > 0) {
        times.add(waitedS + objective.withinS());
      } else if (objective.kind().equals("deadline") && deadlineS > 0 && objective.times() > 0) {
        times.add(deadlineS * objective.times());
      }
    }
    return times;
  }

  /**
   * Returns the latest time from submission that a job's deadline and the objectives about
   * deadlines allow, seconds; not positive if it has no deadline.
   */
  public double lastDeadlineS(JobSpec spec) {
    double lastS = spec.deadlineS();
    for (Objective objective : objectives) {
      if (objective.kind().equals("deadline") && spec.jobClass().equals(objective.jobClass())) {
        lastS = Math.max(lastS, spec.deadlineS() * objective.times());
      }
    }
    return lastS;
  }

  /** Returns the most outbound connections that the process may have at once. */
  public int maxOutboundConnections() {
    return Math.max(4, (int) (maxConnections * SettingsConstants.OUTBOUND_CONNECTION_SHARE));
  }

  /** Returns true if some objective is about price or cost. */
  public boolean hasPriceObjective() {
    return objectives.stream()
        .anyMatch(
            objective -> objective.kind().contains("price") || objective.kind().contains("cost"));
  }

  /**
   * Reads and validates a file.
   *
   * @throws SettingsException naming the field that is wrong
   */
  public static Settings load(Path file) throws SettingsException {
    return SettingsReader.read(file);
  }
}
