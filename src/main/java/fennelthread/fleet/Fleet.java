package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.jobs.StartRecord;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.net.StallDetector;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
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

  /** What the leader does with the fleet's news. */
  public interface Listener {
    /** An attempt is over or proven gone. */
    void ended(Machine machine, Attempt attempt);

    /** A worker has seen a token above ours: another controller leads. */
    void higherToken(long epoch);

    /** A report shows a task that we did not start. */
    void adopted(Attempt attempt);

    /** Something changed that a round may want to know. */
    void changed();

    /** What a reported task that we did not start is; its amounts are needed for caps. */
    StartRecord.Start describe(Machine machine, WorkerReport.Task task);

    /** Clears and stops that the machine's attempts call for now. */
    List<WorkerCommand> ordersFor(Machine machine);

    /** True if this very moment starts may be sent, and this one is still wanted. */
    boolean mayStart(Attempt attempt);
  }

  /** How requests of ours reach workers. */
  @FunctionalInterface
  public interface Paths {
    /** Sends a request to a worker, as {@link EventLoop#call} says. */
    void send(
        Machine machine,
        String address,
        Call call,
        long timeoutMs,
        Consumer<Answer> done,
        EventLoop.Unsent unsent);
  }

  /** What lets answers to reports out. */
  public interface Gate {
    /** True if reports may be answered at this moment. */
    boolean isOpen();

    /** The answer to a report: what its sender is told, under which token. */
    Answer answer(WorkerReport report, long token, List<WorkerCommand> orders);
  }

  private final FleetContext context;
  private final LongSupplier othersSilentSince;
  private final Supplier<Map<String, MachineType>> machineTypes;
  private final ZoneHealth zones;
  private final MachineReadiness readiness;
  private final MachineProbes probes;
  private final StartSender starts;
  private final CommandQueue commands;
  private final ReportHandler reports;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private long attemptSeq;

  /**
   * Creates the fleet of one term.
   *
   * @param othersSilentSince the time since when no other controller can have answered a report, or
   *     {@code Long.MAX_VALUE} while one still could
   * @param paths how workers are reached
   * @param zones what is thought of the zones
   * @param stalls whether we heard what was said
   * @param gate lets answers to reports out
   */
  public Fleet(
      EventLoop eventLoop,
      Settings settings,
      long epoch,
      Listener listener,
      LongSupplier othersSilentSince,
      Supplier<Map<String, MachineType>> machineTypes,
      Paths paths,
      ZoneHealth zones,
      StallDetector stalls,
      Gate gate) {
    AggregatedLog aggregatedLog = new AggregatedLog(eventLoop, log::info);
    this.context =
        new FleetContext(eventLoop, settings, epoch, listener, paths, stalls, aggregatedLog);
    this.othersSilentSince = othersSilentSince;
    this.machineTypes = machineTypes;
    this.zones = zones;
    this.readiness = new MachineReadiness(context, zones);
    this.probes = new MachineProbes(context, this::probed);
    this.starts = new StartSender(context, probes, this::answered);
    this.commands = new CommandQueue(context, this::answered);
    this.reports =
        new ReportHandler(context, gate, name -> learn(name, null), probes, starts, commands);
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
  public Machine get(String name) {
    return machines.get(name);
  }

  /** A machine, known from now on. */
  public Machine learn(String name, String address) {
    Machine m = machines.computeIfAbsent(name, n -> new Machine(n, context.nowMs()));
    m.setAddress(address);
    return m;
  }

  /** Describes a machine that its worker may not have described yet. */
  public void describe(Machine m, String type, String zone, boolean spot) {
    if (!m.isDescribed()) {
      m.describe(type, zone, spot);
    }
  }

  /** When a worker last reported to us, or -1. */
  public long lastReportAtMs() {
    return reports.lastReportAtMs();
  }

  /** Takes up a start from a predecessor's round record: it may be there. */
  public void inherit(StartRecord.Start start) {
    Machine m = learn(start.machine(), null);
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
  public Attempt create(Machine m, JobSpec spec, int index) {
    long number = (context.epoch() << ProtocolConstants.ATTEMPT_BITS) + ++attemptSeq;
    StartRecord.Start start = StartRecord.Start.of(spec, index, number, m.name(), m.session());
    Attempt a =
        new Attempt(m, start, Attempt.Phase.RECORDED, m.token(context.epoch()), context.nowMs());
    m.add(a);
    return a;
  }

  /** Drops an attempt whose start was never sent. */
  public void abandon(Machine m, Attempt a) {
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
  public void sendOrders(Machine m) {
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
      sendOrders(m);
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
      context.listener().changed();
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
      context.listener().ended(m, a);
    }
    if (!gone.isEmpty()) {
      context.listener().changed();
    }
  }

  /** The machine is about to be returned: it gets no answers and no tasks any more. */
  public void returning(Machine m) {
    m.drain();
    m.moveTo(Machine.Phase.RETURNING);
  }

  /** The cloud has refused to take the machine: it serves on. */
  public void keep(Machine m) {
    if (m.phase() == Machine.Phase.RETURNING) {
      m.undrain();
      m.moveTo(m.contactAtMs() < 0 ? Machine.Phase.UNHEARD : Machine.Phase.REPORTING);
    }
  }

  /** The cloud has confirmed that the machine and everything on it are gone. */
  public void returned(Machine m) {
    if (m.phase() == Machine.Phase.GONE) {
      return;
    }
    m.moveTo(Machine.Phase.GONE);
    for (Attempt a : m.dropAll()) {
      context.listener().ended(m, a);
    }
    context.listener().changed();
  }

  /** Notes that an image is on a machine. */
  public void cached(Machine m, String image, double gb) {
    m.cached(image, gb, machineTypes.get().get(m.type()));
  }

  /** The attempt of a task on a machine, or null. */
  public Attempt find(String machine, TaskRef task, long attempt) {
    Machine m = machines.get(machine);
    return m == null ? null : m.find(task, attempt);
  }

  /** Notes a failed task; true if the machine should be drained. */
  public boolean failed(Machine m, String job) {
    return m.failures().failed(job, context.nowMs());
  }

  /** Notes a task that completed. */
  public void succeeded(Machine m) {
    m.failures().succeeded();
  }

  /** Gives a machine no more tasks. */
  public void drain(Machine m) {
    m.drain();
  }
}
