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
  private final EarlyReports earlyReports;
  private final StartSender starts;
  private final DueCommandSender commands;
  private final ReportProcessor reports;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private long attemptsCreated;

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
    this.commands = new DueCommandSender(context, this::onCommandResponse);
    this.earlyReports = new EarlyReports(context, commands);
    this.starts = new StartSender(context, earlyReports);
    this.reports =
        new ReportProcessor(
            context, link.responder(), name -> getOrAddMachine(name, null), probes, starts);
  }

  /** Ends the term: answers that arrive from now on are ignored. */
  public void close() {
    context.close();
  }

  // ---------------------------------------------------------------- machines

  /**
   * Returns all machines of the term in the order in which they became known, returned ones too.
   */
  public Collection<Machine> machines() {
    return machines.values();
  }

  /**
   * Finds a machine by its name.
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

  /** Sets a machine's type, zone and whether it is a spot instance, unless these are known. */
  public void setDescriptionIfUnknown(Machine machine, String type, String zone, boolean spot) {
    if (!machine.isDescribed()) {
      machine.setDescription(type, zone, spot);
    }
  }

  /**
   * Returns true if tasks may be placed on the machine: among other things it was in contact
   * recently, has confirmed this term's fencing token, and renews its lease.
   */
  public boolean isReady(Machine machine) {
    return readiness.isReady(machine);
  }

  /**
   * Returns true if none of the machine's own reports was answered for longer than a lease lasts:
   * its lease has expired, although it may still execute commands.
   */
  boolean areReportsUnanswered(Machine machine) {
    return readiness.areReportsUnanswered(machine);
  }

  /** Returns true if the machine's leases expire repeatedly although it reports. */
  boolean isLosingLeases(Machine machine) {
    return readiness.isLosingLeases(machine);
  }

  /** Records that an image is cached on a machine; {@code gb} is its size, GB. */
  public void recordCachedImage(Machine machine, String image, double gb) {
    machine.recordCachedImage(image, gb, machineTypes.get().get(machine.type()));
  }

  /** Records a failed task of a job; returns true if the machine should be cordoned. */
  public boolean recordTaskFailure(Machine machine, String job) {
    return machine.failures().recordFailure(job, context.nowMs());
  }

  /** Records a completed task, which proves the machine healthy: clears its recorded failures. */
  public void recordTaskSuccess(Machine machine) {
    machine.failures().clear();
  }

  /** Cordons a machine: no more tasks are placed on it. */
  public void cordon(Machine machine) {
    machine.cordon();
  }

  // ---------------------------------------------------------------- attempts

  /**
   * Adds the attempt of a start record that a leader of an earlier term committed: it may be
   * running on its machine. If a report has already shown the attempt, the record replaces the
   * start that was assumed for it.
   */
  public void restoreAttempt(StartRecord.Start start) {
    Machine machine = getOrAddMachine(start.machine(), null);
    Attempt known = machine.findAttempt(start.task(), start.attempt());
    if (known != null) {
      known.replaceStart(start);
    } else if (!machine.hasEndedSession(start.session(), context.epoch())) {
      // The start was sent under a token of an earlier epoch. Taking the highest of these makes
      // sure that only a report under a token of this epoch can prove the attempt absent.
      long token = MachineFencingTokens.firstOf(context.epoch()) - 1;
      machine.addAttempt(
          new Attempt(machine, start, Attempt.Phase.UNCONFIRMED, token, context.nowMs()));
    }
  }

  /** Creates an attempt, whose start record the caller is about to commit. */
  public Attempt createAttempt(Machine machine, JobSpec spec, int taskIndex) {
    long number = (context.epoch() << ProtocolConstants.ATTEMPT_BITS) + ++attemptsCreated;
    StartRecord.Start start =
        StartRecord.Start.of(spec, taskIndex, number, machine.name(), machine.session());
    long token = machine.currentToken(context.epoch());
    Attempt attempt = new Attempt(machine, start, Attempt.Phase.CREATED, token, context.nowMs());
    machine.addAttempt(attempt);
    return attempt;
  }

  /** Removes an attempt whose start has not been passed to {@link #queueStarts}; ignores others. */
  public void discardUnsent(Machine machine, Attempt attempt) {
    if (attempt.phase() == Attempt.Phase.CREATED) {
      attempt.transitionTo(Attempt.Phase.GONE);
      machine.removeAttempt(attempt);
    }
  }

  /**
   * Finds an attempt at a task on a machine.
   *
   * @return the attempt, or null if this term does not know it
   */
  public Attempt findAttempt(String machineName, TaskRef task, long attemptNumber) {
    Machine machine = machines.get(machineName);
    return machine == null ? null : machine.findAttempt(task, attemptNumber);
  }

  // ---------------------------------------------------------------- workers

  /**
   * Returns when a worker last reported by itself in this term, ms, or -1 if none has. Reports of
   * machines that are being returned do not count.
   */
  public long lastReportAtMs() {
    return reports.lastReportAtMs();
  }

  /**
   * Answers a report that {@link StaleReportFilter} has not rejected.
   *
   * @param receivingMember the member that received it from the worker: a peer's name, or our own
   * @return the answer, or null if this controller may answer no reports now, or the report shows
   *     that another controller leads
   */
  public Answer handleReport(WorkerReport report, String receivingMember) {
    return reports.handleReport(report, receivingMember);
  }

  /**
   * Queues starts whose records are committed; {@code attempts} is not empty. They are sent with
   * the answer to the machine's next report, if the leader's lease allows starts then.
   */
  public void queueStarts(Machine machine, List<Attempt> attempts) {
    starts.enqueue(machine, attempts);
  }

  /**
   * Returns how long a start that is queued now is expected to wait for the worker's next report,
   * ms.
   */
  public long expectedStartWaitMs(Machine machine) {
    return earlyReports.expectedWaitMs(machine);
  }

  /** Sends the stop and clear commands that are due now, without waiting for the next report. */
  public void sendCommands(Machine machine) {
    commands.send(machine);
  }

  /** Sends a worker this term's fencing token; its answer is a report of what is on its machine. */
  public void probe(Machine machine) {
    probes.probe(machine);
  }

  private void onCommandResponse(Machine machine, WorkerReport report, ReportPosition known) {
    reports.onCommandResponse(machine, report, known);
  }

  private void onProbeResponse(Machine machine, WorkerReport report, ReportPosition known) {
    onCommandResponse(machine, report, known);
    MachineContact contact = machine.contact();
    boolean isFirstContact = !contact.isReportAnswered() && commands.isStopDue(machine);
    if (isFirstContact || context.isOverdue(contact.reportAnsweredAtMs())) {
      // The worker's own reports do not arrive, or have not arrived in this term yet, so the
      // commands that are due can't go out with their answers. Without this its cancelled tasks
      // count against their team's quota until the lease expires.
      sendCommands(machine);
    }
  }

  // ---------------------------------------------------------------- periodic checks

  /**
   * Drops queued starts that are overdue, observes the zones, expires workers' leases, uncordons
   * machines, and probes workers that are overdue or have not confirmed their token. To be called
   * several times a second.
   */
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
   * Uncordons a machine on which no task has failed for {@link FleetConstants#CORDON_MS}. Cordoned
   * machines are returned once they are empty; one with long tasks would stay cordoned meanwhile,
   * and its free capacity would be lost.
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

  /** Marks a machine whose return is about to be requested: it gets neither answers nor tasks. */
  public void beginReturn(Machine machine) {
    machine.cordon();
    machine.transitionTo(Machine.Phase.RETURNING);
  }

  /** Puts a machine whose return the cloud has refused back into service. */
  public void cancelReturn(Machine machine) {
    if (machine.phase() == Machine.Phase.RETURNING) {
      machine.uncordon();
      boolean wasNeverInContact = machine.lastContactAtMs() < 0;
      machine.transitionTo(
          wasNeverInContact ? Machine.Phase.AWAITING_REPORT : Machine.Phase.REPORTING);
    }
  }

  /** Ends all attempts on a machine whose return the cloud has confirmed. */
  public void completeReturn(Machine machine) {
    if (machine.phase() == Machine.Phase.GONE) {
      return;
    }
    machine.transitionTo(Machine.Phase.GONE);
    for (Attempt attempt : machine.dropAllAttempts()) {
      context.listener().onAttemptEnded(machine, attempt);
    }
    context.listener().onFleetChanged();
  }
}
