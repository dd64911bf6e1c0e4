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
    this.probes = new MachineProbes(context, this::probed);
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
    Machine m = machines.computeIfAbsent(name, n -> new Machine(n, context.nowMs()));
    m.setAddress(address);
    return m;
  }

  /** Describes a machine that its worker may not have described yet. */
  public void describeIfUnknown(Machine m, String type, String zone, boolean spot) {
    if (!m.isDescribed()) {
      m.describe(type, zone, spot);
    }
  }

  /** When a worker last reported to us, or -1. */
  public long lastReportAtMs() {
    return reports.lastReportAtMs();
  }

  /** Takes up a start from a predecessor's round record: it may be there. */
  public void restoreAttempt(StartRecord.Start start) {
    Machine m = getOrAdd(start.machine(), null);
    Attempt known = m.find(start.task(), start.attempt());
    if (known != null) {
      known.describedBy(start);
    } else if (!m.isPast(start.session(), context.epoch())) {
      // Sent under a predecessor's token, whichever: only a report under ours tells.
      long token = (context.epoch() << ProtocolConstants.TOKEN_BITS) - 1;
      m.add(new Attempt(m, start, Attempt.Phase.UNSURE, token, context.nowMs()));
    }
  }

  /** A new attempt, whose record is about to be written. */
  public Attempt createAttempt(Machine m, JobSpec spec, int index) {
    long number = (context.epoch() << ProtocolConstants.ATTEMPT_BITS) + ++attemptSeq;
    StartRecord.Start start = StartRecord.Start.of(spec, index, number, m.name(), m.session());
    Attempt a =
        new Attempt(m, start, Attempt.Phase.RECORDED, m.token(context.epoch()), context.nowMs());
    m.add(a);
    return a;
  }

  /** Drops an attempt whose start was never sent. */
  public void discardUnsent(Machine m, Attempt a) {
    if (a.phase() == Attempt.Phase.RECORDED) {
      a.moveTo(Attempt.Phase.GONE);
      m.remove(a);
    }
  }

  /** True if the machine can be given tasks: in contact lately, and obeying nobody but us. */
  public boolean isReady(Machine m) {
    return readiness.isReady(m);
  }

  /** True if its lease must be over although it may carry out commands. */
  boolean isMute(Machine m) {
    return readiness.isMute(m);
  }

  /** True if its leases end again and again although it reports. */
  boolean hearsNothing(Machine m) {
    return readiness.hearsNothing(m);
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
  public void sendStarts(Machine m, List<Attempt> attempts) {
    starts.send(m, attempts);
  }

  /**
   * Sends the stops and clears that are due right away instead of with the next report's answer.
   */
  public void sendCommands(Machine m) {
    commands.send(m);
  }

  /** Tells a worker our token, and learns from its answer what is on its machine. */
  public void probe(Machine m) {
    probes.probe(m);
  }

  private void answered(Machine m, WorkerReport report, KnownReport known) {
    reports.answeredDirectly(m, report, known);
  }

  private void probed(Machine m, WorkerReport report, KnownReport known) {
    answered(m, report, known);
    if (context.isOverdue(m.reportAnsweredAtMs())) {
      // No report of its own will fetch them: its cancelled tasks held their team's limit until
      // their lease was over.
      sendCommands(m);
    }
  }

  /** Looks for leases that are over and workers that have not confirmed their token. */
  public void tick() {
    starts.dropLate();
    zones.look(machines.values(), context.nowMs());
    long othersSilentMs = othersSilentSince.getAsLong();
    for (Machine m : List.copyOf(machines.values())) {
      if (m.phase() == Machine.Phase.GONE) {
        continue;
      }
      if (m.phase() != Machine.Phase.LOST && isLeaseOver(m, othersSilentMs)) {
        expire(m);
      }
      endDraining(m);
      probes.probeIfNeeded(m);
    }
  }

  /**
   * Gives a drained machine tasks again once none has failed there for long. One that keeps running
   * what it has would otherwise never be empty, so never be returned, and its room be lost.
   */
  private void endDraining(Machine m) {
    if (m.isDraining()
        && m.phase() == Machine.Phase.REPORTING
        && !m.isEmpty()
        && context.nowMs() - m.failures().lastAtMs() > FleetConstants.DRAIN_MS) {
      log.info("{} has failed nothing for long, it gets tasks again", m.name());
      m.undrain();
      context.listener().onFleetChanged();
    }
  }

  /** True if its lease is over, counted from the last answer that any controller can have given. */
  private boolean isLeaseOver(Machine m, long othersSilentMs) {
    long from = Math.max(m.contact().leaseFromMs(), othersSilentMs);
    return othersSilentMs != Long.MAX_VALUE && context.nowMs() - from > context.leaseAtMostMs();
  }

  private void expire(Machine m) {
    boolean heard = m.phase() == Machine.Phase.REPORTING;
    if (heard) {
      m.moveTo(Machine.Phase.LOST);
      m.tokens().raise();
      context.aggregatedLog().add("leases over", m.name(), 1);
    }
    m.forgetImages();
    // A start sent within the lease can't be executed in the session that has ended.
    List<Attempt> gone = m.dropAll();
    gone.forEach(a -> log.debug("{} is over, by its lease", a));
    for (Attempt a : gone) {
      context.listener().onAttemptEnded(m, a);
    }
    if (!gone.isEmpty()) {
      context.listener().onFleetChanged();
    }
  }

  /** The machine is about to be returned: it gets no answers and no tasks any more. */
  public void beginReturn(Machine m) {
    m.drain();
    m.moveTo(Machine.Phase.RETURNING);
  }

  /** The cloud has refused to take the machine: it serves on. */
  public void cancelReturn(Machine m) {
    if (m.phase() == Machine.Phase.RETURNING) {
      m.undrain();
      m.moveTo(m.contactAtMs() < 0 ? Machine.Phase.UNHEARD : Machine.Phase.REPORTING);
    }
  }

  /** The cloud has confirmed that the machine and everything on it are gone. */
  public void completeReturn(Machine m) {
    if (m.phase() == Machine.Phase.GONE) {
      return;
    }
    m.moveTo(Machine.Phase.GONE);
    for (Attempt a : m.dropAll()) {
      context.listener().onAttemptEnded(m, a);
    }
    context.listener().onFleetChanged();
  }

  /** Notes that an image is on a machine. */
  public void recordCachedImage(Machine m, String image, double gb) {
    m.cached(image, gb, machineTypes.get().get(m.type()));
  }

  /** The attempt of a task on a machine, or null. */
  public Attempt findAttempt(String machine, TaskRef task, long attempt) {
    Machine m = machines.get(machine);
    return m == null ? null : m.find(task, attempt);
  }

  /** Notes a failed task; true if the machine should be drained. */
  public boolean recordTaskFailure(Machine m, String job) {
    return m.failures().failed(job, context.nowMs());
  }

  /** Notes a task that completed. */
  public void recordTaskSuccess(Machine m) {
    m.failures().succeeded();
  }

  /** Gives a machine no more tasks. */
  public void cordon(Machine m) {
    m.drain();
  }
}
