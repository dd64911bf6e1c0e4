package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.jobs.StartRecord;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerReport;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines of one leader's term and the evidence about what may be on them. A task counts as
 * present until a newer report under our current token, a later session, the cloud's answer to a
 * return, or a lease that nobody can have renewed, says otherwise.
 */
public final class Fleet {
  private static final Logger log = LoggerFactory.getLogger(Fleet.class);

  private final FleetContext context;
  private final LongSupplier othersSilentSince;
  private final Supplier<Map<String, MachineType>> machineTypes;
  private final ZoneHealth zones;
  private final MachineReadiness readiness;
  private final MachineProbes probes;
  private final StartSender starts;
  private final CommandQueue commands;
  private final ReportProcessor reports;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private long attemptSeq;

  /**
   * Creates the fleet of one term.
   *
   * @param othersSilentSince the time since when no other controller can have answered a report, or
   *     {@code Long.MAX_VALUE} while one still could
   * @param zones what is thought of the zones
   * @param link the ways to communicate with workers
   */
  public Fleet(
      EventLoop eventLoop,
      Settings settings,
      long epoch,
      FleetListener listener,
      LongSupplier othersSilentSince,
      Supplier<Map<String, MachineType>> machineTypes,
      ZoneHealth zones,
      WorkerLink link) {
    AggregatedLog aggregatedLog = new AggregatedLog(eventLoop, log::info);
    this.context = new FleetContext(eventLoop, settings, epoch, listener, link, aggregatedLog);
    this.othersSilentSince = othersSilentSince;
    this.machineTypes = machineTypes;
    this.zones = zones;
    this.readiness = new MachineReadiness(context, zones);
    this.probes = new MachineProbes(context, this::onProbeAnswered);
    this.starts = new StartSender(context, probes, this::answered);
    this.commands = new CommandQueue(context, this::answered);
    this.reports =
        new ReportProcessor(
            context, link.responder(), name -> getOrAdd(name, null), probes, starts, commands);
  }

  /** Ends the term: late answers change nothing any more. */
  public void close() {
    context.close();
  }

  /** All machines. */
  public Collection<Machine> machines() {
    return machines.values();
  }

  /** A machine, or null. */
  public Machine machine(String name) {
    return machines.get(name);
  }

  /** A machine, known from now on. */
  public Machine getOrAdd(String name, String address) {
    Machine machine = machines.computeIfAbsent(name, n -> new Machine(n, context.nowMs()));
    machine.setAddress(address);
    return machine;
  }

  /** Describes a machine that its worker may not have described yet. */
  public void describeIfUnknown(Machine machine, String type, String zone, boolean spot) {
    if (!machine.isDescribed()) {
      machine.describe(type, zone, spot);
    }
  }

  /** When a worker last reported to us, or -1. */
  public long lastReportAtMs() {
    return reports.lastReportAtMs();
  }

  /** Takes up a start from a predecessor's round record: it may be there. */
  public void restoreAttempt(StartRecord.Start start) {
    Machine machine = getOrAdd(start.machine(), null);
    Attempt known = machine.find(start.task(), start.attempt());
    if (known != null) {
      known.replaceStart(start);
    } else if (!machine.hasEndedSession(start.session(), context.epoch())) {
      // Sent under a predecessor's token, whichever: only a report under ours tells.
      long token = (context.epoch() << ProtocolConstants.TOKEN_BITS) - 1;
      machine.add(new Attempt(machine, start, Attempt.Phase.UNCONFIRMED, token, context.nowMs()));
    }
  }

  /** A new attempt, whose record is about to be written. */
  public Attempt createAttempt(Machine machine, JobSpec spec, int index) {
    long number = (context.epoch() << ProtocolConstants.ATTEMPT_BITS) + ++attemptSeq;
    StartRecord.Start start =
        StartRecord.Start.of(spec, index, number, machine.name(), machine.session());
    Attempt attempt =
        new Attempt(
            machine,
            start,
            Attempt.Phase.RECORDED,
            machine.token(context.epoch()),
            context.nowMs());
    machine.add(attempt);
    return attempt;
  }

  /** Drops an attempt whose start was never sent. */
  public void discardUnsent(Machine machine, Attempt attempt) {
    if (attempt.phase() == Attempt.Phase.RECORDED) {
      attempt.transitionTo(Attempt.Phase.GONE);
      machine.remove(attempt);
    }
  }

  /** True if the machine can be given tasks: in contact lately, and obeying nobody but us. */
  public boolean isReady(Machine machine) {
    return readiness.isReady(machine);
  }

  /** True if its lease must be over although it may carry out commands. */
  boolean isUnanswered(Machine machine) {
    return readiness.isUnanswered(machine);
  }

  /** True if its leases end again and again although it reports. */
  boolean isLosingLeases(Machine machine) {
    return readiness.isLosingLeases(machine);
  }

  /**
   * Answers a report that has not come in before; null if nobody may be answered now, or if another
   * leads.
   *
   * @param by whom it came: a peer's name, or ours
   */
  public Answer handleReport(WorkerReport report, String by) {
    return reports.answer(report, by);
  }

  /** Sends starts, whose record is written. The caller has just checked the local lease. */
  public void sendStarts(Machine machine, List<Attempt> attempts) {
    starts.send(machine, attempts);
  }

  /**
   * Sends the stops and clears that are due right away instead of with the next report's answer.
   */
  public void sendCommands(Machine machine) {
    commands.send(machine);
  }

  /** Tells a worker our token, and learns from its answer what is on its machine. */
  public void probe(Machine machine) {
    probes.probe(machine);
  }

  private void answered(Machine machine, WorkerReport report, ReportPosition known) {
    reports.answeredDirectly(machine, report, known);
  }

  private void onProbeAnswered(Machine machine, WorkerReport report, ReportPosition known) {
    answered(machine, report, known);
    if (context.isOverdue(machine.reportAnsweredAtMs())) {
      // No report of its own will fetch them: its cancelled tasks held their team's limit until
      // their lease was over.
      sendCommands(machine);
    }
  }

  /** Looks for leases that are over and workers that have not confirmed their token. */
  public void tick() {
    starts.dropOverdueStarts();
    zones.look(machines.values(), context.nowMs());
    long othersSilentMs = othersSilentSince.getAsLong();
    for (Machine machine : List.copyOf(machines.values())) {
      if (machine.phase() == Machine.Phase.GONE) {
        continue;
      }
      if (machine.phase() != Machine.Phase.LOST && isLeaseOver(machine, othersSilentMs)) {
        expireLease(machine);
      }
      uncordonIfHealthy(machine);
      probes.probeIfNeeded(machine);
    }
  }

  /**
   * Gives a drained machine tasks again once none has failed there for long. One that keeps running
   * what it has would otherwise never be empty, so never be returned, and its room be lost.
   */
  private void uncordonIfHealthy(Machine machine) {
    if (machine.isCordoned()
        && machine.phase() == Machine.Phase.REPORTING
        && !machine.isEmpty()
        && context.nowMs() - machine.failures().lastAtMs() > FleetConstants.DRAIN_MS) {
      log.info("{} has failed nothing for long, it gets tasks again", machine.name());
      machine.uncordon();
      context.listener().onFleetChanged();
    }
  }

  /** True if its lease is over, counted from the last answer that any controller can have given. */
  private boolean isLeaseOver(Machine machine, long othersSilentMs) {
    long from = Math.max(machine.contact().leaseStartMs(), othersSilentMs);
    return othersSilentMs != Long.MAX_VALUE && context.nowMs() - from > context.leaseAtMostMs();
  }

  private void expireLease(Machine machine) {
    boolean heard = machine.phase() == Machine.Phase.REPORTING;
    if (heard) {
      machine.transitionTo(Machine.Phase.LOST);
      machine.tokens().raise();
      context.aggregatedLog().add("leases over", machine.name(), 1);
    }
    machine.clearImages();
    // A start sent within the lease can't be executed in the session that has ended.
    List<Attempt> gone = machine.dropAll();
    gone.forEach(attempt -> log.debug("{} is over, by its lease", attempt));
    for (Attempt attempt : gone) {
      context.listener().onAttemptEnded(machine, attempt);
    }
    if (!gone.isEmpty()) {
      context.listener().onFleetChanged();
    }
  }

  /** The machine is about to be returned: it gets no answers and no tasks any more. */
  public void beginReturn(Machine machine) {
    machine.cordon();
    machine.transitionTo(Machine.Phase.RETURNING);
  }

  /** The cloud has refused to take the machine: it serves on. */
  public void cancelReturn(Machine machine) {
    if (machine.phase() == Machine.Phase.RETURNING) {
      machine.uncordon();
      machine.transitionTo(
          machine.lastContactAtMs() < 0 ? Machine.Phase.AWAITING_REPORT : Machine.Phase.REPORTING);
    }
  }

  /** The cloud has confirmed that the machine and everything on it are gone. */
  public void completeReturn(Machine machine) {
    if (machine.phase() == Machine.Phase.GONE) {
      return;
    }
    machine.transitionTo(Machine.Phase.GONE);
    for (Attempt attempt : machine.dropAll()) {
      context.listener().onAttemptEnded(machine, attempt);
    }
    context.listener().onFleetChanged();
  }

  /** Notes that an image is on a machine. */
  public void recordCachedImage(Machine machine, String image, double gb) {
    machine.recordCachedImage(image, gb, machineTypes.get().get(machine.type()));
  }

  /**
   * Returns an attempt at a task on a machine.
   *
   * @return the attempt, or null if this leader knows of none
   */
  public Attempt findAttempt(String machineName, TaskRef task, long attemptNumber) {
    Machine machine = machines.get(machineName);
    return machine == null ? null : machine.find(task, attemptNumber);
  }

  /** Notes a failed task; true if the machine should be drained. */
  public boolean recordTaskFailure(Machine machine, String job) {
    return machine.failures().failed(job, context.nowMs());
  }

  /** Notes a task that completed. */
  public void recordTaskSuccess(Machine machine) {
    machine.failures().succeeded();
  }

  /** Gives a machine no more tasks. */
  public void cordon(Machine machine) {
    machine.cordon();
  }
}
