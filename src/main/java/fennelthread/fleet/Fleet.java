package fennelthread.fleet;

import fennelthread.Constants;
import fennelthread.jobs.StartRecord;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.Host;
import fennelthread.net.StallDetector;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
    /** Sends a request to a worker, as {@link Host#call} says. */
    void send(
        Machine machine,
        String address,
        Call call,
        long timeoutMs,
        Consumer<Answer> done,
        Host.Unsent unsent);
  }

  /** What lets answers to reports out. */
  public interface Gate {
    /** True if reports may be answered at this moment. */
    boolean isOpen();

    /** The answer to a report: what its sender is told, under which token. */
    Answer answer(WorkerReport beat, long token, List<WorkerCommand> orders);
  }

  private final Host host;
  private final Settings settings;
  private final long epoch;
  private final Listener listener;
  private final LongSupplier othersSilentSince;
  private final Supplier<Map<String, MachineType>> flavors;
  private final Paths paths;
  private final ZoneHealth zones;
  private final StallDetector wake;
  private final Gate gate;
  private final AggregatedLog tally;
  private final Set<Machine> carriers = new LinkedHashSet<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Set<Machine> toProbe = new LinkedHashSet<>();
  private int probing;
  private boolean closed;
  private long attemptSeq;
  private long lastBeatAt = -1;

  /**
   * Creates the fleet of one term.
   *
   * @param othersSilentSince the time since when no other controller can have answered a report, or
   *     {@code Long.MAX_VALUE} while one still could
   * @param paths how workers are reached
   * @param zones what is thought of the zones
   * @param wake whether we heard what was said
   * @param gate lets answers to reports out
   */
  public Fleet(
      Host host,
      Settings settings,
      long epoch,
      Listener listener,
      LongSupplier othersSilentSince,
      Supplier<Map<String, MachineType>> flavors,
      Paths paths,
      ZoneHealth zones,
      StallDetector wake,
      Gate gate) {
    this.gate = gate;
    this.zones = zones;
    this.wake = wake;
    this.host = host;
    this.settings = settings;
    this.epoch = epoch;
    this.listener = listener;
    this.othersSilentSince = othersSilentSince;
    this.flavors = flavors;
    this.paths = paths;
    this.tally = new AggregatedLog(host, log::info);
  }

  /** Ends the term: late answers change nothing any more. */
  public void close() {
    closed = true;
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
    Machine m = machines.computeIfAbsent(name, n -> new Machine(n, host.nowMs()));
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
  public long lastBeatAt() {
    return lastBeatAt;
  }

  /** Takes up a start from a predecessor's round record: it may be there. */
  public void inherit(StartRecord.Start start) {
    Machine m = learn(start.machine(), null);
    Attempt known = m.find(start.task(), start.attempt());
    if (known != null) {
      known.describedBy(start);
    } else if (!m.isPast(start.session(), epoch)) {
      // Sent under a predecessor's token, whichever: only a report under ours tells.
      m.add(
          new Attempt(
              m, start, Attempt.Phase.UNSURE, (epoch << Constants.TOKEN_BITS) - 1, host.nowMs()));
    }
  }

  /** A new attempt, whose record is about to be written. */
  public Attempt create(Machine m, fennelthread.wire.JobSpec spec, int index) {
    long number = (epoch << Constants.ATTEMPT_BITS) + ++attemptSeq;
    Attempt a =
        new Attempt(
            m,
            StartRecord.Start.of(spec, index, number, m.name(), m.session()),
            Attempt.Phase.RECORDED,
            m.token(epoch),
            host.nowMs());
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

  /** True if the machine can be given tasks: heard lately, and obeying nobody but us. */
  public boolean isReady(Machine m) {
    return m.phase() == Machine.Phase.REPORTING
        && m.address() != null
        && m.isConfirmed(epoch)
        && !m.isDraining()
        && m.noticeUntilMs() < 0
        && host.nowMs() - m.unreachableAtMs() > Constants.UNREACHABLE_PAUSE_MS
        && host.nowMs() - m.contactAtMs()
            <= settings.workers().reportMs() * Constants.SILENT_REPORTS
        && !isLosingSessions(m)
        && zones.mayPlace(m);
  }

  /**
   * True if lease after lease ended there although it reports: what is started now would end like
   * the rest.
   */
  private boolean isLosingSessions(Machine m) {
    long lease = settings.workers().leaseMs();
    long now = host.nowMs();
    return m.risesSince(now - lease) > 0
        && m.risesSince(now - lease * Constants.RISES_LEASES) >= Constants.RISES_NO_ROOM;
  }

  /** True if that goes on: the machine hears nothing, and is of no use. */
  boolean hearsNothing(Machine m) {
    long window = settings.workers().leaseMs() * Constants.RISES_LEASES;
    return m.risesSince(host.nowMs() - window) >= Constants.RISES_HOPELESS;
  }

  /**
   * Answers a report that has not come in before; null if nobody may be answered now, or if another
   * leads.
   *
   * @param by whom it came: a sibling's name, or ours
   */
  public Answer beat(WorkerReport beat, String by) {
    if (!gate.isOpen()) {
      // Users may have been told of withdrawals that we know nothing of: those tasks must not live
      // on.
      // A leader in a zone that was cut off for 75 s once kept them for all of it.
      return null;
    }
    long now = host.nowMs();
    Machine m = learn(beat.machine(), null);
    long beatEpoch = beat.token() >> Constants.TOKEN_BITS;
    if (beatEpoch > epoch) {
      listener.higherToken(beatEpoch);
      return null;
    }
    if (m.phase() == Machine.Phase.GONE || m.phase() == Machine.Phase.RETURNING) {
      // Late packets of a machine that is gone, or about to be: not answered, so that its lease
      // isn't lengthened.
      return Answer.error(503, "machine is being returned");
    }
    m.describe(beat.type(), beat.zone(), beat.spot());
    lastBeatAt = now;
    boolean newest = m.isNewer(beat);
    // A report may be overtaken by the answer to a question that was put to its machine a moment
    // later.
    boolean overtaken =
        beat.session() == m.session() && now - m.heardAtMs() < Constants.WORKER_WAITS_MS;
    if (m.isOfAnotherLife(beat) && !overtaken) {
      return askWhich(m, beat);
    }
    if (newest) {
      doubtHearing(m, beat, by, now);
    }
    take(m, beat);
    if (isDeaf(m, now)) {
      // All that could be said was said for more than a lease, and nothing of it was heard. An
      // answer could not
      // renew the worker's lease, and must not renew what we count of it.
      return Answer.error(503, "answers do not arrive");
    }
    m.answered(now);
    m.answeredUnshown(epoch, now);
    if (newest) {
      doubtUnshown(m);
    }
    List<WorkerCommand> orders = m.ackedToken() >= 0 ? ordersFor(m) : List.of();
    if (carriers.contains(m)) {
      orders = new ArrayList<>(orders);
      orders.addAll(carried(m, newest));
    }
    return gate.answer(beat, m.token(epoch), orders);
  }

  /**
   * A report that comes late, by another way, or in a later session tells that answers may not have
   * arrived. The token is raised, and only a report that shows it tells that they do.
   */
  private void doubtHearing(Machine m, WorkerReport beat, String by, long now) {
    boolean elsewhere = m.cameBy(by);
    boolean late =
        now - m.heardAtMs()
            > settings.workers().reportMs() * Constants.DOUBT_REPORTS + Constants.DOUBT_SLACK_MS;
    boolean risen = beat.session() > m.session();
    if (m.heardAtMs() >= 0
        && m.isConfirmed(epoch)
        && (elsewhere || risen || (late && !wake.isListening()))) {
      m.raiseToken();
    }
  }

  private boolean isDeaf(Machine m, long now) {
    return !m.isConfirmed(epoch)
        && m.unshownSinceMs() >= 0
        && now - m.unshownSinceMs() > leaseAtMostMs();
  }

  /**
   * A report under a lower token than the machine has shown: an old copy, or the first of a machine
   * that was started anew and has forgotten everything. The machine itself tells which, under a
   * token that is raised before: a start that is still on its way, or comes a second time, must not
   * be carried out by the next life.
   */
  private Answer askWhich(Machine m, WorkerReport beat) {
    long now = host.nowMs();
    if (!m.isProbing() && now - m.askedWhichAtMs() > Constants.ASK_WHICH_MS) {
      m.askedWhich(now);
      m.raiseToken();
      sendProbe(m, beat.address(), beat.session());
    }
    return Answer.error(503, "tokens were forgotten");
  }

  /**
   * What a worker is told of its tasks. Clears go out under a higher token than the starts of what
   * they clear, and so are gathered: each rise has the worker report once more.
   */
  private List<WorkerCommand> ordersFor(Machine m) {
    List<WorkerCommand> orders = listener.ordersFor(m);
    int under = 0;
    for (WorkerCommand order : orders) {
      under += isUnderToken(m, order) ? 1 : 0;
    }
    if (under == 0) {
      return orders;
    }
    long now = host.nowMs();
    if (under >= Constants.CLEARS_GATHERED
        || now - m.clearedAtMs() >= settings.workers().leaseMs() * Constants.CLEARS_LEASE_SHARE) {
      m.raiseForClears(now);
      return orders;
    }
    List<WorkerCommand> atOnce = new ArrayList<>(orders);
    atOnce.removeIf(order -> isUnderToken(m, order));
    return atOnce;
  }

  private boolean isUnderToken(Machine m, WorkerCommand order) {
    if (!(order instanceof WorkerCommand.Clear clear)) {
      return false;
    }
    Attempt a = m.find(clear.task(), clear.attempt());
    return a != null && a.token() >= m.token(epoch);
  }

  /**
   * Starts that an earlier answer held and this report does not show: whether that answer arrived,
   * nobody says. The token is raised, and the next report under it tells.
   */
  private void doubtUnshown(Machine m) {
    boolean doubted = false;
    for (Attempt a : m.attempts()) {
      if (a.isSentInAnswer()) {
        a.moveTo(Attempt.Phase.UNSURE);
        doubted = true;
      }
    }
    if (doubted) {
      m.raiseToken();
    }
  }

  /**
   * The starts that go out with the answer to a report: looked at as if they were sent directly.
   */
  private List<WorkerCommand> carried(Machine m, boolean newest) {
    List<WorkerCommand> orders = new ArrayList<>();
    boolean left = false;
    for (Attempt a : List.copyOf(m.attemptList())) {
      if (a.phase() != Attempt.Phase.CARRIED) {
        continue;
      }
      if (a.start().session() != m.session() || !listener.mayStart(a)) {
        neverStarted(m, a);
      } else if (newest && orders.size() < Constants.STARTS_PER_ANSWER) {
        a.sentInAnswer(m.token(epoch));
        orders.add(new WorkerCommand.Run(a.start().task(), a.start().attempt()));
      } else {
        left = true;
      }
    }
    if (!left) {
      carriers.remove(m);
    }
    return orders;
  }

  /** Applies a report if it is the newest. */
  private void take(Machine m, WorkerReport beat) {
    if (!m.isNewer(beat) || m.phase() == Machine.Phase.GONE) {
      return;
    }
    boolean laterSession = beat.session() > m.session() && m.session() > 0;
    m.setAddress(beat.address());
    boolean ours = beat.token() >> Constants.TOKEN_BITS == epoch;
    if (ours && (m.phase() == Machine.Phase.UNHEARD || m.phase() == Machine.Phase.LOST)) {
      m.moveTo(Machine.Phase.REPORTING);
      listener.changed();
    }
    if (beat.session() > m.session()) {
      // A worker's lease also counts from the start of its session, which may have begun just now
      // although we have known the machine for long and answered nothing yet.
      m.answered(host.nowMs());
    }
    boolean confirmedBefore = m.isConfirmed(epoch);
    List<Attempt> ended = m.apply(beat, epoch, host.nowMs(), task -> listener.describe(m, task));
    m.takeAdopted().forEach(listener::adopted);
    for (Attempt a : ended) {
      log.debug(
          "{} is over ({}), by report {}/{} token {}",
          a,
          a.motive(),
          beat.session(),
          beat.seq(),
          beat.token());
      listener.ended(m, a);
    }
    if (!ended.isEmpty() || laterSession || !confirmedBefore) {
      listener.changed();
    }
    if (!m.isConfirmed(epoch)) {
      probe(m);
    }
  }

  /**
   * Sends starts, whose record is written. The caller has just checked the local lease. An answer
   * that stays away means that the worker may act minutes later: the token is raised, and until a
   * report under it arrives, the attempts count as present.
   */
  public void sendStarts(Machine m, List<Attempt> attempts) {
    long token = m.token(epoch);
    List<WorkerCommand> orders = new ArrayList<>();
    for (Attempt a : attempts) {
      a.sent(token);
      orders.add(new WorkerCommand.Run(a.start().task(), a.start().attempt()));
    }
    long session = attempts.get(0).start().session();
    long seq = m.seq();
    log.debug("{}: starts {} under token {}", m.name(), orders, token);
    paths.send(
        m,
        m.address(),
        Call.post("/commands", Codec.CBOR, WorkerCommand.write(token, session, orders)),
        Constants.COMMAND_TIMEOUT_MS,
        answer -> {
          if (closed) {
            return;
          }
          WorkerReport report = reportOf(answer);
          if (report != null && answer.status() == 409) {
            // Nothing was executed, and this was the only time these attempts were sent.
            attempts.forEach(a -> neverStarted(m, a));
          } else if (report != null) {
            for (Attempt a : attempts) {
              if (a.phase() == Attempt.Phase.SENT) {
                // Executed: whether it is still there, this report or a newer one tells.
                a.moveTo(Attempt.Phase.FETCHING);
              }
            }
          } else {
            tally.add("starts without an answer, tokens raised", m.name(), attempts.size());
            m.raiseToken();
            for (Attempt a : attempts) {
              if (a.phase() == Attempt.Phase.SENT) {
                a.moveTo(Attempt.Phase.UNSURE);
              }
            }
            probe(m);
          }
          if (report != null) {
            heardDirectly(m, report, session, seq);
          }
          listener.changed();
        },
        tried -> {
          if (closed) {
            return;
          }
          // No connection could be had, so that nothing left: these attempts are nowhere. Taking
          // them for unsure once raised hundreds of tokens when connections were short, each of
          // which then needed a connection to be confirmed.
          if (tried) {
            tally.add("starts not sent", m.name(), attempts.size());
            m.unreachable(host.nowMs());
            attempts.forEach(a -> neverStarted(m, a));
          } else {
            // We are short of connections ourselves: the worker's next report brings one.
            tally.add("starts carried by the next report", m.name(), attempts.size());
            carry(m, attempts);
          }
          listener.changed();
        });
  }

  private void carry(Machine m, List<Attempt> attempts) {
    for (Attempt a : attempts) {
      if (a.phase() == Attempt.Phase.SENT) {
        a.moveTo(Attempt.Phase.CARRIED);
        carriers.add(m);
      }
    }
  }

  /** Starts whose machine does not report are better tried elsewhere. */
  private void dropLateCarried() {
    long patience = (long) (settings.workers().reportMs() * Constants.CARRY_REPORTS);
    boolean dropped = false;
    for (Machine m : List.copyOf(carriers)) {
      boolean left = false;
      for (Attempt a : List.copyOf(m.attemptList())) {
        if (a.phase() == Attempt.Phase.CARRIED) {
          if (host.nowMs() - a.createdAtMs() > patience) {
            neverStarted(m, a);
            dropped = true;
          } else {
            left = true;
          }
        }
      }
      if (!left) {
        carriers.remove(m);
      }
    }
    if (dropped) {
      listener.changed();
    }
  }

  private void neverStarted(Machine m, Attempt a) {
    if (a.phase() == Attempt.Phase.SENT || a.phase() == Attempt.Phase.CARRIED) {
      a.moveTo(Attempt.Phase.GONE);
      m.remove(a);
      listener.ended(m, a);
    }
  }

  /**
   * Sends the stops and clears that are due right away instead of with the next report's answer.
   */
  public void sendOrders(Machine m) {
    if (m.address() == null || m.session() == 0) {
      return;
    }
    List<WorkerCommand> orders = ordersFor(m);
    if (orders.isEmpty()) {
      return;
    }
    long session = m.session();
    long seq = m.seq();
    paths.send(
        m,
        m.address(),
        Call.post(
            "/commands", Codec.CBOR, WorkerCommand.write(m.token(epoch), m.session(), orders)),
        Constants.COMMAND_TIMEOUT_MS,
        answer -> {
          WorkerReport report = reportOf(answer);
          if (!closed && report != null) {
            heardDirectly(m, report, session, seq);
          }
        },
        tried -> {});
  }

  /**
   * Tells a worker our token, and learns from its answer what is on its machine. Only so many are
   * asked at once; those on whose answer a task's next start depends come first.
   */
  public void probe(Machine m) {
    if (canBeProbed(m) && toProbe.add(m)) {
      probeNext();
    }
  }

  private boolean canBeProbed(Machine m) {
    return !m.isProbing()
        && host.nowMs() >= m.askAgainAtMs()
        && m.address() != null
        && m.phase() != Machine.Phase.GONE
        && m.phase() != Machine.Phase.RETURNING;
  }

  private void probeNext() {
    int most = Math.max(2, (int) (settings.mostOutbound() * Constants.PROBING_SHARE));
    while (!closed && probing < most && !toProbe.isEmpty()) {
      Machine next = null;
      for (Machine m : toProbe) {
        if (m.awaitsProof()) {
          next = m;
          break;
        }
        next = next == null ? m : next;
      }
      toProbe.remove(next);
      boolean stale = !next.isConfirmed(epoch) || isQuiet(next);
      if (canBeProbed(next) && stale) {
        sendProbe(next, next.address(), next.session());
      }
    }
  }

  private boolean isQuiet(Machine m) {
    return !wake.isListening()
        && host.nowMs() - m.contactAtMs()
            > settings.workers().reportMs() * Constants.SILENT_REPORTS_ALARM;
  }

  private void sendProbe(Machine m, String address, long inSession) {
    m.setProbing(true);
    probing++;
    Question question = new Question(host.nowMs(), m.session(), m.seq());
    paths.send(
        m,
        address,
        Call.post(
                "/commands",
                Codec.CBOR,
                WorkerCommand.write(m.token(epoch), Math.max(1, inSession), List.of()))
            .asSpare(),
        Constants.PROBE_TIMEOUT_MS,
        answer -> probed(m, question, answer, true),
        tried -> probed(m, question, null, tried));
  }

  /** A question to a worker, with the session and report of its that were known when it left. */
  private record Question(long sentAtMs, long session, long seq) {}

  private void probed(Machine m, Question question, Answer answer, boolean tried) {
    m.setProbing(false);
    probing--;
    if (answer == null && tried) {
      // Being short of sockets ourselves says nothing of the machine, which would be returned.
      m.probeFailedSince(question.sentAtMs);
    }
    if (answer == null) {
      // Its worker reports by itself as soon as it can: asking on and on only costs connections.
      m.askAgainAt(host.nowMs() + Constants.PROBE_PAUSE_MS);
    }
    WorkerReport report = reportOf(answer);
    if (!closed && report != null) {
      heardDirectly(m, report, question.session, question.seq);
    }
    probeNext();
  }

  /** A worker has answered what we put to it when this session and report of its were known. */
  private void heardDirectly(Machine m, WorkerReport report, long session, long seq) {
    if (!report.machine().equals(m.name())) {
      // The address belongs to another machine by now.
      return;
    }
    long reportEpoch = report.token() >> Constants.TOKEN_BITS;
    if (reportEpoch > epoch) {
      listener.higherToken(reportEpoch);
      return;
    }
    m.describe(report.type(), report.zone(), report.spot());
    if (!Machine.isAfter(report, session, seq) && m.session() == session && m.seq() == seq) {
      // Answered after what we knew, it would be later in the same life.
      log.info("{} was started anew", m.name());
      m.reborn();
      m.raiseToken();
    }
    take(m, report);
  }

  private static WorkerReport reportOf(Answer answer) {
    if (answer == null || (answer.status() != 200 && answer.status() != 409)) {
      return null;
    }
    try {
      return WorkerReport.read(answer.fields());
    } catch (WireException e) {
      log.info("malformed answer of a worker: {}", e.getMessage());
      return null;
    }
  }

  /** Looks for leases that are over and workers that have not confirmed their token. */
  public void tick() {
    long now = host.nowMs();
    dropLateCarried();
    zones.look(machines.values(), now);
    long silent = othersSilentSince.getAsLong();
    for (Machine m : List.copyOf(machines.values())) {
      if (m.phase() == Machine.Phase.GONE) {
        continue;
      }
      if (silent != Long.MAX_VALUE) {
        long base = Math.max(m.answeredAtMs(), silent);
        if (now - base > leaseAtMostMs() && m.phase() != Machine.Phase.LOST) {
          expire(m);
        }
      }
      endDraining(m, now);
      // A machine that has never reported is mostly still booting: asking it only ties up sockets,
      // hundreds of them once, so that starts found no connection. Its worker reports by itself.
      boolean worthAsking = m.phase() == Machine.Phase.REPORTING || m.awaitsProof();
      if (worthAsking && (!m.isConfirmed(epoch) || isQuiet(m))) {
        probe(m);
      }
    }
  }

  /**
   * Gives a drained machine tasks again once none has failed there for long. One that keeps running
   * what it has would otherwise never be empty, so never be returned, and its room be lost.
   */
  private void endDraining(Machine m, long now) {
    if (m.isDraining()
        && m.phase() == Machine.Phase.REPORTING
        && !m.isEmpty()
        && now - m.lastFailureAtMs() > Constants.DRAIN_MS) {
      log.info("{} has failed nothing for long, it gets tasks again", m.name());
      m.undrain();
      listener.changed();
    }
  }

  /** A worker's lease as our clock may have to count it, ms. */
  private long leaseAtMostMs() {
    return (long) (settings.workers().leaseMs() * (1 + 2 * Constants.CLOCK_DRIFT))
        + Constants.EXPIRY_MARGIN_MS;
  }

  private void expire(Machine m) {
    boolean heard = m.phase() == Machine.Phase.REPORTING;
    if (heard) {
      m.moveTo(Machine.Phase.LOST);
      m.raiseToken();
      tally.add("leases over", m.name(), 1);
    }
    m.forgetImages();
    // A start sent within the lease can't be executed in the session that has ended.
    List<Attempt> gone = m.dropAll();
    gone.forEach(a -> log.debug("{} is over, by its lease", a));
    for (Attempt a : gone) {
      listener.ended(m, a);
    }
    if (!gone.isEmpty()) {
      listener.changed();
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
      listener.ended(m, a);
    }
    listener.changed();
  }

  /** Notes that an image is on a machine. */
  public void cached(Machine m, String image, double gb) {
    m.cached(image, gb, flavors.get().get(m.type()));
  }

  /** The attempt of a task on a machine, or null. */
  public Attempt find(String machine, TaskRef task, long attempt) {
    Machine m = machines.get(machine);
    return m == null ? null : m.find(task, attempt);
  }

  /** Notes a failed task; true if the machine should be drained. */
  public boolean failed(Machine m, String job) {
    return m.failed(job, host.nowMs());
  }

  /** Notes a task that completed. */
  public void succeeded(Machine m) {
    m.succeeded();
  }

  /** Gives a machine no more tasks. */
  public void drain(Machine m) {
    m.drain();
  }
}
