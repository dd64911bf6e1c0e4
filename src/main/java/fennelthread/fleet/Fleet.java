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
 * The machines of one leader's term and the evidence about which attempts may be on them. An
 * attempt counts as present until one of these proves otherwise: a newer report under the current
 * fencing token, a later session of the worker, the cloud's confirmation that the machine was
 * returned, or the expiry of a lease that no controller can have renewed.
 *
 * <p>Not thread-safe: all methods are called on the event loop's thread.
 */
public final class Fleet {
  private static final Logger log = LoggerFactory.getLogger(Fleet.class);

  private final FleetContext context;
  private final LongSupplier otherControllersSilentSinceMs;
  private final Supplier<Map<String, MachineType>> machineTypes;
  private final ZoneHealth zones;
  private final MachineReadiness readiness;
  private final WorkerLeaseExpiry leaseExpiry;
  private final MachineProbes probes;
  private final StartSender starts;
  private final CommandQueue commands;
  private final ReportProcessor reports;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private long attemptSeq;

  /**
   * Creates the fleet of one term.
   *
   * @param epoch the epoch of the term, the high bits of all its fencing tokens
   * @param otherControllersSilentSinceMs the time since when no other controller can have answered
   *     a report, ms, or {@code Long.MAX_VALUE} while one still could
   * @param machineTypes the machine types that the cloud offers, by name
   * @param zones the health of the zones
   * @param link the ways to communicate with workers
   */
  public Fleet(
      EventLoop eventLoop,
      Settings settings,
      long epoch,
      FleetListener listener,
      LongSupplier otherControllersSilentSinceMs,
      Supplier<Map<String, MachineType>> machineTypes,
      ZoneHealth zones,
      WorkerLink link) {
    AggregatedLog aggregatedLog = new AggregatedLog(eventLoop, log::info);
    this.context = new FleetContext(eventLoop, settings, epoch, listener, link, aggregatedLog);
    this.otherControllersSilentSinceMs = otherControllersSilentSinceMs;
    this.machineTypes = machineTypes;
    this.zones = zones;
    this.readiness = new MachineReadiness(context, zones);
    this.leaseExpiry = new WorkerLeaseExpiry(context);
    this.probes = new MachineProbes(context, this::onProbeResponse);
    this.starts = new StartSender(context, probes, this::onCommandResponse);
    this.commands = new CommandQueue(context, this::onCommandResponse);
    this.reports =
        new ReportProcessor(
            context,
            link.responder(),
            name -> getOrAddMachine(name, null),
            probes,
            starts,
            commands);
  }

  /** Ends the term: late answers change nothing any more. */
  public void close() {
    context.close();
  }

  // ---------------------------------------------------------------- machines

  /** Returns all machines that this term has known, returned ones included. */
  public Collection<Machine> machines() {
    return machines.values();
  }

  /**
   * Returns the machine of a name.
   *
   * @return the machine, or null if this term does not know it
   */
  public Machine findMachine(String name) {
    return machines.get(name);
  }

  /**
   * Returns the machine of a name and adds it if it is not known.
   *
   * @param address its worker's address, or null to keep the known one
   */
  public Machine getOrAddMachine(String name, String address) {
    Machine machine = machines.computeIfAbsent(name, n -> new Machine(n, context.nowMs()));
    machine.setAddress(address);
    return machine;
  }

  /** Sets the type, zone and kind of a machine, unless its worker has already reported them. */
  public void describeIfUnknown(Machine machine, String type, String zone, boolean spot) {
    if (!machine.isDescribed()) {
      machine.describe(type, zone, spot);
    }
  }

  /**
   * Returns true if the machine can be given tasks: in contact lately, confirmed under this term's
   * fencing token, and renewing its lease.
   */
  public boolean isReady(Machine machine) {
    return readiness.isReady(machine);
  }

  /** Returns true if the machine's lease must be over although it may carry out commands. */
  boolean isUnanswered(Machine machine) {
    return readiness.isUnanswered(machine);
  }

  /** Returns true if the machine's leases expire again and again although it reports. */
  boolean isLosingLeases(Machine machine) {
    return readiness.isLosingLeases(machine);
  }

  /** Records that an image of a size in GB is cached on a machine. */
  public void recordCachedImage(Machine machine, String image, double gb) {
    machine.recordCachedImage(image, gb, machineTypes.get().get(machine.type()));
  }

  /** Records a failed task of a job; returns true if the machine should be cordoned. */
  public boolean recordTaskFailure(Machine machine, String job) {
    return machine.failures().recordFailure(job, context.nowMs());
  }

  /** Records a task that completed: the machine is healthy. */
  public void recordTaskSuccess(Machine machine) {
    machine.failures().clear();
  }

  /** Cordons a machine: it gets no more tasks. */
  public void cordon(Machine machine) {
    machine.cordon();
  }

  // ---------------------------------------------------------------- attempts

  /**
   * Adds the attempt of a start record that a predecessor committed: it may be on its machine. If
   * the attempt is known from a report, the record replaces what was assumed of it.
   */
  public void restoreAttempt(StartRecord.Start start) {
    Machine machine = getOrAddMachine(start.machine(), null);
    Attempt known = machine.find(start.task(), start.attempt());
    if (known != null) {
      known.replaceStart(start);
    } else if (!machine.hasEndedSession(start.session(), context.epoch())) {
      // It was sent under some token of a predecessor, at most the last one before our epoch: only
      // a report under one of ours proves that it is absent.
      long token = MachineFencingTokens.firstOf(context.epoch()) - 1;
      machine.add(new Attempt(machine, start, Attempt.Phase.UNCONFIRMED, token, context.nowMs()));
    }
  }

  /** Adds and returns a new attempt, whose start record is about to be committed. */
  public Attempt createAttempt(Machine machine, JobSpec spec, int taskIndex) {
    long number = (context.epoch() << ProtocolConstants.ATTEMPT_BITS) + ++attemptSeq;
    StartRecord.Start start =
        StartRecord.Start.of(spec, taskIndex, number, machine.name(), machine.session());
    long token = machine.token(context.epoch());
    Attempt attempt = new Attempt(machine, start, Attempt.Phase.RECORDED, token, context.nowMs());
    machine.add(attempt);
    return attempt;
  }

  /** Removes an attempt if its start was never sent. */
  public void discardUnsent(Machine machine, Attempt attempt) {
    if (attempt.phase() == Attempt.Phase.RECORDED) {
      attempt.transitionTo(Attempt.Phase.GONE);
      machine.remove(attempt);
    }
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

  // ---------------------------------------------------------------- workers

  /** Returns when a worker last reported to this controller, ms, or -1. */
  public long lastReportAtMs() {
    return reports.lastReportAtMs();
  }

  /**
   * Answers a report that has not arrived before.
   *
   * @param via the member through which it arrived: a peer's name, or our own
   * @return the answer, or null if nobody may be answered now or another controller leads
   */
  public Answer handleReport(WorkerReport report, String via) {
    return reports.handleReport(report, via);
  }

  /** Sends starts whose records are committed; the caller has just checked the leader lease. */
  public void sendStarts(Machine machine, List<Attempt> attempts) {
    starts.send(machine, attempts);
  }

  /** Sends the stops and clears that are due at once instead of with the next report's answer. */
  public void sendCommands(Machine machine) {
    commands.send(machine);
  }

  /** Sends a worker our fencing token and learns from its answer what is on its machine. */
  public void probe(Machine machine) {
    probes.probe(machine);
  }

  private void onCommandResponse(Machine machine, WorkerReport report, ReportPosition known) {
    reports.onCommandResponse(machine, report, known);
  }

  private void onProbeResponse(Machine machine, WorkerReport report, ReportPosition known) {
    onCommandResponse(machine, report, known);
    if (context.isOverdue(machine.contact().reportAnsweredAtMs())) {
      // No report of its own will fetch the commands that are due: its cancelled tasks once held
      // their team's quota until their lease was over.
      sendCommands(machine);
    }
  }

  // ---------------------------------------------------------------- periodic checks

  /** Expires leases, ends cordons, and probes workers that have not confirmed their token. */
  public void tick() {
    starts.dropOverdueStarts();
    zones.observe(machines.values(), context.nowMs());
    long othersSilentSinceMs = otherControllersSilentSinceMs.getAsLong();
    for (Machine machine : List.copyOf(machines.values())) {
      if (machine.phase() == Machine.Phase.GONE) {
        continue;
      }
      leaseExpiry.expireIfOver(machine, othersSilentSinceMs);
      uncordonIfHealthy(machine);
      probes.probeIfNeeded(machine);
    }
  }

  /**
   * Uncordons a machine on which no task has failed for long. One that keeps running what it has
   * would otherwise never be empty, so never be returned, and its capacity be lost.
   */
  private void uncordonIfHealthy(Machine machine) {
    if (machine.isCordoned()
        && machine.phase() == Machine.Phase.REPORTING
        && !machine.isEmpty()
        && context.nowMs() - machine.failures().lastFailureAtMs() > FleetConstants.CORDON_MS) {
      log.info("machine uncordoned machine={} reason=noRecentFailures", machine.name());
      machine.uncordon();
      context.listener().onFleetChanged();
    }
  }

  // ---------------------------------------------------------------- returns to the cloud

  /** Marks a machine whose return is about to be requested: it gets no answers and no tasks. */
  public void beginReturn(Machine machine) {
    machine.cordon();
    machine.transitionTo(Machine.Phase.RETURNING);
  }

  /** Takes a machine back into service whose return the cloud has refused. */
  public void cancelReturn(Machine machine) {
    if (machine.phase() == Machine.Phase.RETURNING) {
      machine.uncordon();
      boolean neverInContact = machine.lastContactAtMs() < 0;
      machine.transitionTo(
          neverInContact ? Machine.Phase.AWAITING_REPORT : Machine.Phase.REPORTING);
    }
  }

  /** Ends all attempts on a machine that the cloud has confirmed to be gone. */
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
}
