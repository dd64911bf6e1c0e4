package fennelthread.settings;

import fennelthread.constants.SettingsConstants;
import fennelthread.wire.JobSpec;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The platform's settings (TOML). Unknown fields are ignored, as the platform asks. */
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
   * Another controller; {@code site} is the zone that it is in, empty if the settings do not say.
   */
  public record Peer(String member, String site, String addr) {}

  /** A team's guarantee and caps; a cap of 0 means that there is none. */
  public record Team(String name, double cpus, double cpusMax, double cards, double cardsMax) {}

  /** What is expected of a class of jobs; {@code jobClass} may be null. */
  public record Objective(
      String kind, String jobClass, double withinS, double share, double times) {}

  /** Timing of workers. */
  public record WorkerTiming(long reportMs, long leaseMs, long cancelMs) {}

  /** Limits of the state service: of those it has now and those it will have, the lower ones. */
  public record StateLimits(double rps, double writeRps, int valueBytes, int txnOps) {

    /** The lower of each limit: the change comes without notice. */
    StateLimits lowest(StateLimits next) {
      return new StateLimits(
          Math.min(rps, next.rps),
          Math.min(writeRps, next.writeRps),
          Math.min(valueBytes, next.valueBytes),
          Math.min(txnOps, next.txnOps));
    }
  }

  /** Limits of the cloud. */
  public record CloudLimits(double rps, long listLagMs) {}

  /** True if some objective names a waiting time for the class. */
  public boolean hasWaitObjective(String jobClass) {
    for (Objective o : objectives) {
      if (o.kind().equals("wait") && jobClass.equals(o.jobClass())) {
        return true;
      }
    }
    return false;
  }

  /**
   * The times from its submission by which a job of the class should be done, s: its own deadline,
   * that deadline times what objectives allow, and what objectives say of the class. The deadline
   * counts from the submission, all else from when the job no longer {@code waitedS} for others.
   */
  public List<Double> completionTargetsS(String jobClass, double deadlineS, double waitedS) {
    List<Double> times = new ArrayList<>();
    if (deadlineS > 0) {
      times.add(deadlineS);
    }
    for (Objective o : objectives) {
      if (!jobClass.equals(o.jobClass())) {
        continue;
      }
      if (o.kind().equals("finished") && o.withinS() > 0) {
        times.add(waitedS + o.withinS());
      } else if (o.kind().equals("deadline") && deadlineS > 0 && o.times() > 0) {
        times.add(deadlineS * o.times());
      }
    }
    return times;
  }

  /** The last time from its submission that its deadline and the objectives set for a job, s. */
  public double lastDeadlineS(JobSpec spec) {
    double last = spec.deadlineS();
    for (Objective o : objectives) {
      if (o.kind().equals("deadline") && spec.jobClass().equals(o.jobClass())) {
        last = Math.max(last, spec.deadlineS() * o.times());
      }
    }
    return last;
  }

  /** How many connections of our own we may have at once. */
  public int maxOutboundConnections() {
    return Math.max(4, (int) (maxConnections * SettingsConstants.OUTBOUND_CONNECTION_SHARE));
  }

  /** True if some objective names the price. */
  public boolean hasPriceObjective() {
    return objectives.stream()
        .anyMatch(o -> o.kind().contains("price") || o.kind().contains("cost"));
  }

  /**
   * Reads and checks a file.
   *
   * @throws SettingsException naming the field that is wrong
   */
  public static Settings load(Path file) throws SettingsException {
    return SettingsReader.read(file);
  }
}
