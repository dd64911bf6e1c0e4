package fennelthread.emulate;

import fennelthread.settings.Settings;
import fennelthread.wire.MachineType;
import fennelthread.wire.Priority;
import java.util.List;

/**
 * What a run consists of.
 *
 * @param controllers how many controllers run
 * @param controllerHeapMb a controller's largest heap, MB
 * @param maxConnections sockets that a controller may hold
 * @param controllerOptions the operators' own settings of the controllers, empty for none
 * @param zones names of the zones, over which controllers and workers are spread in turn
 * @param workers machines that are up at the start
 * @param workerProcesses processes that the hollow workers are spread over
 * @param workerHeapMb the largest heap of such a process, MB
 * @param spareMachines machines beyond those at the start that the cloud rents out
 * @param bootMs time over which the first machines come up, ms
 * @param machineTypes the kinds of machines with their share of the fleet
 * @param workerTiming how often workers report and when they are given up
 * @param state the state service's limits and latency
 * @param cloud the cloud's limits
 * @param teams who submits
 * @param jobClasses what is submitted
 * @param load how much of it
 * @param measureFromMs what is submitted before counts for the rules, not for the figures, ms
 * @param faults what goes wrong, by time
 */
record EmulationConfig(
    int controllers,
    int controllerHeapMb,
    int maxConnections,
    String controllerOptions,
    List<String> zones,
    int workers,
    int workerProcesses,
    int workerHeapMb,
    int spareMachines,
    long bootMs,
    List<FleetPart> machineTypes,
    Settings.WorkerTiming workerTiming,
    StateSettings state,
    CloudSettings cloud,
    List<TeamSettings> teams,
    List<JobClass> jobClasses,
    Load load,
    long measureFromMs,
    List<Fault> faults) {

  /**
   * A machine type and how much of the fleet it is.
   *
   * @param share weight among the types
   * @param spotShare share of its machines that are spot machines
   * @param bootMs how long one that is rented takes to come up, ms
   */
  record FleetPart(MachineType type, double share, double spotShare, long bootMs) {}

  /** The state service: its limits, and how long an answer usually takes, ms. */
  record StateSettings(Settings.StateLimits limits, long latencyMs) {}

  /** The cloud: its limit, and how old its list is, ms. */
  record CloudSettings(double rps, long listLagMs) {}

  /** A team; its guarantee and its limit are shares of the first fleet's CPUs, 0 if none. */
  record TeamSettings(String name, double guarantee, double limit) {}

  /** An inclusive range. */
  record Range(double low, double high) {
    double mean() {
      return (low + high) / 2;
    }

    double at(double share) {
      return low + (high - low) * share;
    }
  }

  /**
   * A class of jobs.
   *
   * @param share weight of its task starts among all
   * @param taskS a task's run time, s
   * @param images how many images its jobs use
   * @param cancelShare share of its jobs that their users cancel
   * @param arrivesFromS when its jobs begin to arrive, s of the run
   * @param arrivesUntilS when they cease to arrive, s of the run
   * @param named the jobs that each of its jobs waits for, null if it waits for none
   */
  record JobClass(
      String name,
      boolean service,
      Priority priority,
      List<String> teams,
      double share,
      Range tasks,
      Range taskS,
      double cpus,
      double memGb,
      int images,
      double imageGb,
      boolean spot,
      boolean onePlace,
      boolean apart,
      double cancelShare,
      double arrivesFromS,
      double arrivesUntilS,
      NamedJobs named) {

    /** True if its jobs arrive at that moment of the run, s. */
    boolean arrivesAt(double atS) {
      return atS >= arrivesFromS && atS < arrivesUntilS;
    }
  }

  /**
   * Jobs that others wait for: the first of a class that were accepted.
   *
   * @param jobClass the name of their class
   * @param count how many
   */
  record NamedJobs(String jobClass, int count) {}

  /** A point of the curve that the base load is multiplied by; linear in between. */
  record CurvePoint(double atS, double factor) {}

  /** How many task starts users ask for in a second, and the curve over the run. */
  record Load(double startsPerS, List<CurvePoint> curve) {
    double startsPerSecond(double atS) {
      CurvePoint before = curve.get(0);
      for (CurvePoint point : curve) {
        if (point.atS >= atS) {
          double length = point.atS - before.atS;
          double share = length <= 0 ? 1 : (atS - before.atS) / length;
          return startsPerS * (before.factor + (point.factor - before.factor) * share);
        }
        before = point;
      }
      return startsPerS * before.factor;
    }
  }

  /** What goes wrong. */
  enum FaultKind {
    /** A controller is ended with SIGKILL and started anew after a while. */
    KILL_CONTROLLER("kill-controller"),
    /** A controller is stopped with SIGSTOP and continued after a while. */
    PAUSE_CONTROLLER("pause-controller"),
    /** A process with hollow workers is ended with SIGKILL: all its machines die. */
    KILL_WORKERS("kill-workers"),
    /** The workers of a zone and the controllers reach one another no more. */
    CUT_ZONE("cut-zone"),
    /** The state service answers everybody with 503. */
    STATE_OUT("state-out"),
    /** The state service answers one controller with 503. */
    STATE_REFUSE("state-refuse"),
    /** The state service answers later than usual. */
    STATE_SLOW("state-slow"),
    /** The cloud answers everybody with 503. */
    CLOUD_OUT("cloud-out");

    final String word;

    FaultKind(String word) {
      this.word = word;
    }
  }

  /**
   * A fault.
   *
   * @param atMs when it begins, ms after users begin
   * @param everyMs when it comes again, ms; 0 if it doesn't
   * @param target a controller ({@code leader}, {@code follower} or a number), a process's number,
   *     or a zone; empty if the kind has none
   * @param forMs how long it lasts, ms
   * @param extraMs what a slow answer takes beyond the usual, ms
   */
  record Fault(FaultKind kind, long atMs, long everyMs, String target, long forMs, long extraMs) {}

  /** The CPUs of the first fleet. */
  double fleetCpus() {
    double shares = machineTypes.stream().mapToDouble(FleetPart::share).sum();
    double each = machineTypes.stream().mapToDouble(p -> p.type.cpus() * p.share).sum() / shares;
    return each * workers;
  }
}
