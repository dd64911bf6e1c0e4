package fennelthread.lead;

import fennelthread.Constants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Cloud;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.fleet.Rentals;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import fennelthread.jobs.Lookup;
import fennelthread.jobs.NeedGraph;
import fennelthread.jobs.RoundRecord;
import fennelthread.net.Answer;
import fennelthread.net.Host;
import fennelthread.plan.Plan;
import fennelthread.plan.Planner;
import fennelthread.plan.Snapshot;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Limits;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.Beat;
import fennelthread.wire.Flavor;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.Order;
import fennelthread.wire.Priority;
import fennelthread.wire.TaskRef;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
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
 * One leader's term: everything the leader knows beyond the state service, made anew at each claim
 * and thrown away when leading ends.
 */
public final class Term implements Fleet.Listener, JobTable.Listener, NeedGraph.Listener {
  private static final Logger log = LoggerFactory.getLogger(Term.class);

  /** How far the term is. */
  private enum Phase {
    /** The replica has not reached the claim: a predecessor's records may be missing. */
    CATCHING_UP,
    /** Rounds are made. */
    ACTIVE,
    /** Over. */
    CLOSED
  }

  private final Host host;
  private final Settings settings;
  private final Options options;
  private final StateClient state;
  private final Replica replica;
  private final JobTable table;
  private final JobStore store;
  private final NeedGraph needs;
  private final Limits limits;
  private final Lease lease;
  private final Supplier<Map<String, Flavor>> flavors;
  private final Fleet fleet;
  private final Rentals rentals;
  private final long epoch;
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<String, double[]> speedByClass = new HashMap<>();
  private final Set<Run> dirty = new LinkedHashSet<>();
  private final Set<String> attention = new HashSet<>();
  private final Map<Machine, Load> loads = new IdentityHashMap<>();
  private Phase phase = Phase.CATCHING_UP;
  private boolean roundPlanned;
  private boolean roundRunning;
  private boolean flushing;
  private boolean flushPlanned;
  private long partsFlushedAt;
  private boolean sweeping;
  private long lastRoundAt;
  private long roundSeq;
  private long jobSeq;
  private long pausedUntil;
  private List<Plan.Unplaced> unplaced = List.of();

  /** Begins a term; {@code addresses} are workers that siblings or predecessors knew. */
  public Term(
      Host host,
      Settings settings,
      Options options,
      StateClient state,
      Replica replica,
      JobTable table,
      JobStore store,
      Lease lease,
      Cloud cloud,
      Supplier<Map<String, Flavor>> flavors,
      Consumer<List<Flavor>> onFlavors,
      LongSupplier othersSilentSince,
      Map<String, String> addresses) {
    this.host = host;
    this.settings = settings;
    this.options = options;
    this.state = state;
    this.replica = replica;
    this.table = table;
    this.store = store;
    this.needs = store.waits().graph();
    this.limits = state.limits();
    this.lease = lease;
    this.flavors = flavors;
    this.epoch = lease.epoch();
    this.fleet = new Fleet(host, settings, epoch, this, othersSilentSince, flavors);
    this.rentals =
        new Rentals(
            host,
            settings,
            options,
            cloud,
            fleet,
            "r-" + epoch + "-" + settings.member(),
            flavors.get(),
            onFlavors);
    addresses.forEach((name, address) -> fleet.probe(fleet.learn(name, address)));
    awaitReplica();
    rentals.start();
    tick();
    rentTick();
  }

  /** The workers' addresses, for siblings to keep warm. */
  public Map<String, String> addresses() {
    Map<String, String> known = new LinkedHashMap<>();
    for (Machine m : fleet.machines()) {
      if (m.phase() == Machine.Phase.REPORTING && m.address() != null) {
        known.put(m.name(), m.address());
      }
    }
    return known;
  }

  /** When a worker last reported, or -1. */
  public long lastBeatAt() {
    return fleet.lastBeatAt();
  }

  /** Ends the term. */
  public void close() {
    moveTo(Phase.CLOSED);
    fleet.close();
    rentals.close();
    table.ignore(this);
    store.waits().ignore(this);
  }

  private void moveTo(Phase next) {
    log.info("term {}: {} -> {}", epoch, phase, next);
    phase = next;
  }

  private void awaitReplica() {
    if (phase != Phase.CATCHING_UP) {
      return;
    }
    if (replica.revision() < lease.epochRevision()) {
      replica.onAdvance(this::awaitReplica);
      return;
    }
    for (RoundRecord record : table.rounds().values()) {
      record.starts().forEach(fleet::inherit);
    }
    table.all().forEach(this::begin);
    for (Machine m : fleet.machines()) {
      for (Attempt a : m.attempts()) {
        attach(a);
      }
    }
    table.listen(this);
    store.waits().listen(this);
    moveTo(Phase.ACTIVE);
    for (Machine m : List.copyOf(fleet.machines())) {
      fleet.probe(m);
      for (Attempt a : m.attempts()) {
        if (a.phase() == Attempt.Phase.ENDED) {
          handleEnd(m, a);
        }
      }
    }
    changed();
  }

  private void tick() {
    if (phase == Phase.CLOSED) {
      return;
    }
    fleet.tick();
    if (phase == Phase.ACTIVE) {
      watchNotices();
      flush();
      store.cascade();
      if (host.nowMs() - lastRoundAt >= Constants.ROUND_IDLE_MS) {
        changed();
      }
      sweep();
    }
    host.after(250, this::tick);
  }

  private void rentTick() {
    if (phase == Phase.CLOSED) {
      return;
    }
    if (phase == Phase.ACTIVE && lease.mayStart()) {
      rentals.tick(unplaced);
    }
    host.after(Constants.RENT_EVERY_MS, this::rentTick);
  }

  /** Answers a report; null if we are not entitled to. */
  public Answer beat(Beat beat) {
    Answer answer = fleet.beat(beat);
    return phase == Phase.CLOSED ? null : answer;
  }

  // ---------------------------------------------------------------- jobs

  @Override
  public void added(Job job) {
    begin(job);
    log.debug(
        "{} of {} is new: {} tasks of image {}",
        job.spec().id(),
        job.spec().jobClass(),
        job.spec().tasks(),
        job.spec().image());
    changed();
  }

  private void begin(Job job) {
    String id = job.spec().id();
    Run run = new Run(job);
    run.lend(needs.loan(id));
    runs.put(id, run);
    if (needs.isReleased(job)) {
      release(run);
    }
  }

  /** From now on the job counts: as the last one of its team, however long ago it was submitted. */
  private void release(Run run) {
    String id = run.job().spec().id();
    runs.remove(id);
    runs.put(id, run);
    run.release(++jobSeq, needs.releasedMs(run.job()));
  }

  @Override
  public void moved(Job job, NeedGraph.Phase to) {
    Run run = runs.get(job.spec().id());
    if (to == NeedGraph.Phase.DOOMED) {
      store.cascade();
    } else if (run != null) {
      release(run);
      changed();
    }
  }

  @Override
  public void lent(String id) {
    Run run = runs.get(id);
    if (run == null) {
      return;
    }
    run.lend(needs.loan(id));
    for (List<Attempt> attempts : run.attempts().values()) {
      for (Attempt a : attempts) {
        // What a machine carries is added up anew only if the machine has changed.
        Machine m = fleet.get(a.start().machine());
        if (m != null) {
          m.touch();
        }
      }
    }
    changed();
  }

  @Override
  public void removed(Job job) {
    Run run = runs.remove(job.spec().id());
    if (run != null) {
      dirty.remove(run);
      for (List<Attempt> attempts : run.attempts().values()) {
        for (Attempt a : attempts) {
          attention.add(a.start().machine());
        }
      }
    }
    for (String name : attention) {
      Machine m = fleet.get(name);
      if (m == null) {
        continue;
      }
      m.touch();
      if (m.phase() == Machine.Phase.REPORTING) {
        fleet.sendOrders(m);
      }
    }
    attention.clear();
    changed();
  }

  // ---------------------------------------------------------------- fleet

  @Override
  public void higherToken(long other) {
    lease.heardOf(other);
  }

  @Override
  public RoundRecord.Start describe(Machine m, Beat.Task task) {
    Job job = table.get(task.ref().job());
    RoundRecord.Start start;
    if (job != null && task.ref().index() < job.spec().tasks()) {
      start =
          RoundRecord.Start.of(
              job.spec(), task.ref().index(), task.attempt(), m.name(), m.session());
    } else {
      start = recorded(m, task);
    }
    return start;
  }

  /** A withdrawn job's task: its round record still says what it takes. */
  private RoundRecord.Start recorded(Machine m, Beat.Task task) {
    for (RoundRecord.Start s : table.startsOf(task.ref().job())) {
      if (s.attempt() == task.attempt()
          && s.task().equals(task.ref())
          && s.machine().equals(m.name())) {
        return s;
      }
    }
    return new RoundRecord.Start(task.ref(), task.attempt(), m.name(), m.session(), "", 0, 0, 0);
  }

  @Override
  public void adopted(Attempt a) {
    attach(a);
  }

  private void attach(Attempt a) {
    Run run = runs.get(a.start().task().job());
    if (run != null && a.mayBePresent()) {
      run.attach(a);
    }
  }

  @Override
  public void ended(Machine m, Attempt a) {
    if (phase != Phase.ACTIVE) {
      return;
    }
    handleEnd(m, a);
  }

  private void handleEnd(Machine m, Attempt a) {
    if (a.isHandled()) {
      return;
    }
    a.handled();
    Run run = runs.get(a.start().task().job());
    if (run == null) {
      return;
    }
    int index = a.start().task().index();
    run.detach(a);
    if (a.phase() == Attempt.Phase.GONE || a.motive() == null) {
      return;
    }
    long now = host.nowMs();
    JobSpec spec = run.job().spec();
    switch (a.motive()) {
      case DONE -> {
        fleet.succeeded(m);
        fleet.cached(m, spec.image(), spec.imageGb());
        if (a.runningSinceMs() >= 0 && spec.estimateS() > 0) {
          learn(spec, (now - a.runningSinceMs()) / 1000.0);
        }
        if (!spec.service()) {
          run.finish(index);
          dirty.add(run);
          if (run.unfinished() == 0 && !flushPlanned) {
            // Its user waits for this one; tasks of other jobs can wait for one another.
            flushPlanned = true;
            host.after(
                Constants.FLUSH_DONE_MS,
                () -> {
                  flushPlanned = false;
                  flush();
                });
          }
        }
      }
      case ERROR -> {
        boolean known = run.failedOn(index, m.name(), now, host.random().nextDouble());
        if (!known && fleet.failed(m, spec.id())) {
          log.info("{} fails its tasks, draining it", m.name());
          fleet.drain(m);
        }
      }
      case HALTED -> run.pause(index, 0);
      case FULL, BUSY, NO_SUCH, OTHER -> run.refused(index, now, host.random().nextDouble());
      default -> throw new IllegalStateException();
    }
  }

  private void learn(JobSpec spec, double tookS) {
    double[] s = speedByClass.computeIfAbsent(spec.jobClass(), k -> new double[] {3, 3});
    s[0] = s[0] * 0.95 + Math.min(5, tookS / spec.estimateS());
    s[1] = s[1] * 0.95 + 1;
  }

  private double estimate(JobSpec spec) {
    double[] s = speedByClass.get(spec.jobClass());
    return spec.estimateS() * (s == null ? 1 : s[0] / s[1]);
  }

  @Override
  public List<Order> ordersFor(Machine m) {
    if (phase != Phase.ACTIVE) {
      return List.of();
    }
    List<Order> orders = new ArrayList<>();
    for (Attempt a : m.attempts()) {
      Run run = runs.get(a.start().task().job());
      int index = a.start().task().index();
      switch (a.phase()) {
        case ENDED -> {
          // Each start is sent exactly once, so no start of an ended attempt can be in flight.
          if (run == null
              || a.motive() != Beat.Motive.DONE
              || run.job().spec().service()
              || run.isDurable(index)) {
            orders.add(new Order.Clear(a.start().task(), a.start().attempt()));
          }
        }
        case FETCHING, RUNNING, FLUSHING -> {
          boolean unwanted = run == null || run.isFinished(index);
          if (unwanted) {
            orders.add(new Order.Stop(a.start().task(), a.start().attempt(), 0));
          } else if (a.isStopping() && a.phase() != Attempt.Phase.FLUSHING) {
            double grace = run.job().spec().checkpointS() > 0 ? run.job().spec().saveS() + 1 : 0;
            orders.add(new Order.Stop(a.start().task(), a.start().attempt(), grace));
          }
        }
        default -> {
          // Nothing to say of attempts that the worker has not reported.
        }
      }
      if (orders.size() >= 400) {
        break;
      }
    }
    return orders;
  }

  private void watchNotices() {
    long now = host.nowMs();
    for (Machine m : fleet.machines()) {
      if (m.phase() != Machine.Phase.REPORTING || m.noticeUntilMs() < 0) {
        continue;
      }
      double left = (m.noticeUntilMs() - now) / 1000.0;
      boolean stopped = false;
      for (Attempt a : m.attempts()) {
        Run run = runs.get(a.start().task().job());
        if (run == null || a.isStopping() || !a.mayBePresent()) {
          continue;
        }
        JobSpec spec = run.job().spec();
        double ran = a.runningSinceMs() < 0 ? 0 : (now - a.runningSinceMs()) / 1000.0;
        boolean willFinish =
            !spec.service() && a.phase() == Attempt.Phase.RUNNING && estimate(spec) - ran < left;
        if (!willFinish) {
          a.stopping();
          stopped = true;
        }
      }
      if (stopped) {
        fleet.sendOrders(m);
      }
    }
  }

  // ---------------------------------------------------------------- rounds

  @Override
  public void changed() {
    if (phase != Phase.ACTIVE || roundPlanned || roundRunning) {
      return;
    }
    roundPlanned = true;
    long now = host.nowMs();
    long at = Math.max(lastRoundAt + options.roundGapMs(), pausedUntil);
    host.after(
        Math.max(1, at - now),
        () -> {
          roundPlanned = false;
          round();
        });
  }

  private void round() {
    if (phase != Phase.ACTIVE || roundRunning) {
      return;
    }
    lastRoundAt = host.nowMs();
    if (!lease.mayStart()) {
      return;
    }
    Snapshot snapshot = snapshot();
    if (snapshot == null) {
      unplaced = List.of();
      return;
    }
    Plan plan = Planner.plan(snapshot);
    unplaced = plan.unplaced();
    if (log.isDebugEnabled() && !unplaced.isEmpty()) {
      log.debug("{} jobs have tasks without a place, {} starts, use {}",
          unplaced.size(),
          plan.starts().size(),
          snapshot.teams());
    }
    Set<Machine> stopOn = new LinkedHashSet<>();
    for (Snapshot.Running r : plan.stops()) {
      Machine m = fleet.get(r.machine());
      Attempt a = fleet.find(r.machine(), new TaskRef(r.spec().id(), r.task()), r.attempt());
      if (a != null) {
        a.stopping();
        stopOn.add(m);
      }
    }
    stopOn.forEach(fleet::sendOrders);
    if (plan.starts().isEmpty()) {
      return;
    }
    Txn txn = new Txn().when(Keys.EPOCH, lease.epochRevision());
    Map<Machine, List<Attempt>> byMachine = new LinkedHashMap<>();
    RoundRecord.Packer records = new RoundRecord.Packer(limits.valueBytes(), limits.txnOps());
    Set<String> jobs = new HashSet<>();
    for (Plan.Start s : plan.starts()) {
      String id = s.spec().id();
      Run run = runs.get(id);
      Machine m = fleet.get(s.machine());
      if ((!jobs.contains(id) && txn.conditions() >= limits.conditions())
          || !records.makeRoom(s.spec(), s.task(), m.name(), m.session())) {
        // The next round's turn.
        continue;
      }
      if (jobs.add(id)) {
        // A job that was withdrawn meanwhile fails the whole record.
        txn.when(Keys.job(id), run.job().revision());
      }
      Attempt a = fleet.create(m, s.spec(), s.task());
      run.attach(a);
      byMachine.computeIfAbsent(m, k -> new ArrayList<>()).add(a);
      records.add(a.start());
    }
    for (RoundRecord record : records.records()) {
      txn.write(Keys.ROUND + String.format("%010d-%08d", epoch, ++roundSeq), record.write());
    }
    roundRunning = true;
    state.txn(
        StateClient.Lane.ROUND,
        txn,
        result -> {
          roundRunning = false;
          if (phase == Phase.CLOSED) {
            return;
          }
          if (result instanceof TxnResult.Applied applied) {
            replica.applied(txn, applied.revision());
            sendStarts(byMachine);
          } else {
            log.info("round abandoned: {}", result);
            abandon(byMachine);
            if (result instanceof TxnResult.Conflict c) {
              conflict(c);
            }
            pausedUntil = host.nowMs() + Constants.RETRY_MS;
          }
          changed();
        });
  }

  private void sendStarts(Map<Machine, List<Attempt>> byMachine) {
    // The check that the paper's first counterexample is about: between the claim, or the last
    // renewal, and this moment the lease may have run out, however well the write went.
    if (!lease.mayStart()) {
      log.info("round abandoned: the local lease is over");
      abandon(byMachine);
      return;
    }
    byMachine.forEach(
        (m, attempts) -> {
          attempts.removeIf(a -> a.phase() != Attempt.Phase.RECORDED);
          for (Attempt a : List.copyOf(attempts)) {
            if (!runs.containsKey(a.start().task().job())) {
              fleet.abandon(m, a);
              attempts.remove(a);
            }
          }
          if (!attempts.isEmpty() && m.session() == attempts.get(0).start().session()
              && m.phase() == Machine.Phase.REPORTING) {
            fleet.sendStarts(m, attempts);
          } else {
            drop(m, attempts);
          }
        });
  }

  private void abandon(Map<Machine, List<Attempt>> byMachine) {
    byMachine.forEach(this::drop);
  }

  private void drop(Machine m, List<Attempt> attempts) {
    for (Attempt a : attempts) {
      fleet.abandon(m, a);
      Run run = runs.get(a.start().task().job());
      if (run != null) {
        run.detach(a);
      }
    }
  }

  private void conflict(TxnResult.Conflict c) {
    if (c.failed().contains(Keys.EPOCH)) {
      lease.stepDown("the epoch has moved on", 0);
    }
  }

  /** What a round may look at; null if no task waits for a place. */
  private Snapshot snapshot() {
    long now = host.nowMs();
    int mostStarts = mostStarts();
    double total = 0;
    Map<Run, List<Integer>> waiting = new LinkedHashMap<>();
    for (Run run : runs.values()) {
      if (!run.isReleased()) {
        // The gate: nothing of a job that waits for others gets into a round.
        continue;
      }
      total += run.unfinished() * run.job().spec().cpus();
      if (run.hasIdle()) {
        List<Integer> tasks = run.pending(now, mostStarts * 4);
        if (!tasks.isEmpty()) {
          waiting.put(run, tasks);
        }
      }
    }
    rentals.demand(total);
    if (waiting.isEmpty()) {
      return null;
    }
    Map<String, Flavor> types = flavors.get();
    Map<String, double[]> used = new HashMap<>();
    List<Snapshot.Host> hosts = new ArrayList<>();
    for (Machine m : fleet.machines()) {
      Load load = loads.computeIfAbsent(m, k -> new Load());
      load.update(m, types.get(m.type()), fleet, runs::get);
      load.addTo(used);
      if (load.host() != null && fleet.isReady(m)) {
        hosts.add(load.host());
      }
    }
    Map<String, Snapshot.Use> teams = new HashMap<>();
    for (Settings.Team t : settings.teams().values()) {
      double[] u = used.getOrDefault(t.name(), new double[2]);
      teams.put(t.name(), new Snapshot.Use(u[0], u[1], t.cpusMax(), t.cardsMax()));
    }
    Set<String> guaranteed = guaranteedJobs();
    List<Snapshot.Need> needs = new ArrayList<>();
    waiting.forEach((run, tasks) -> needs.add(need(run, tasks, guaranteed)));
    return new Snapshot(hosts, needs, guaranteed, teams, now, mostStarts);
  }

  private int mostStarts() {
    return Math.min(
        Constants.STARTS_PER_ROUND,
        limits.txnOps() * limits.valueBytes() / Constants.RECORD_BYTES_PER_START);
  }

  private Snapshot.Need need(Run run, List<Integer> tasks, Set<String> guaranteed) {
    JobSpec spec = run.job().spec();
    double takes = estimate(spec);
    double slack = slackS(run, takes);
    return new Snapshot.Need(
        spec,
        run.priority(),
        stopsAs(run, takes),
        tasks,
        spec.onePlace() || spec.apart() ? zonesOf(run) : Map.of(),
        slack >= 0 && guaranteed.contains(spec.id()),
        spec.service() || settings.waitsMatter(spec.jobClass()),
        slack < 0,
        tasks.size() * Math.max(0.1, spec.cpus()) * Math.max(1, takes),
        run.order());
  }

  /** The priority with which a job may stop others: a lent one only once its time runs short. */
  private Priority stopsAs(Run run, double takesS) {
    NeedGraph.Loan loan = run.loan();
    if (loan == null || loan.dueMs() == 0) {
      return run.priority();
    }
    double latestMs = loan.dueMs() - takesS * 1000;
    boolean patient =
        latestMs - host.wallMs()
            > (latestMs - run.releasedWallMs()) * (1 - Constants.LENT_PATIENCE);
    return patient ? run.job().spec().priority() : run.priority();
  }

  /**
   * What is left to the next of the times that the job's deadline, the objectives and the deadlines
   * of the jobs that need it set, or less than 0 if it is too late for all of them. A job that has
   * been late for long counts as in time again: it must not wait for ever.
   */
  private double slackS(Run run, double takesS) {
    JobSpec spec = run.job().spec();
    if (spec.service()) {
      return Double.MAX_VALUE;
    }
    long accepted = run.job().acceptedWallMs();
    double ageS = (host.wallMs() - accepted) / 1000.0;
    double waitedS = (run.releasedWallMs() - accepted) / 1000.0;
    List<Double> times = settings.doneByS(spec.jobClass(), spec.deadlineS(), waitedS);
    NeedGraph.Loan loan = run.loan();
    if (loan != null && loan.dueMs() > 0) {
      times.add((loan.dueMs() - accepted) / 1000.0);
      times.add((loan.lastDueMs() - accepted) / 1000.0);
    }
    double last = 0;
    double next = Double.MAX_VALUE;
    for (double at : times) {
      last = Math.max(last, at);
      if (at - ageS - takesS >= 0) {
        next = Math.min(next, at);
      }
    }
    if (next != Double.MAX_VALUE) {
      return next - ageS - takesS;
    }
    return last == 0 || ageS > last * Constants.LATE_PATIENCE ? Double.MAX_VALUE : last - ageS - takesS;
  }

  /** A team's oldest jobs are within its guarantee, as far as they fit into it together. */
  private Set<String> guaranteedJobs() {
    Set<String> guaranteed = new HashSet<>();
    Map<String, double[]> demanded = new HashMap<>();
    for (Run run : runs.values()) {
      JobSpec spec = run.job().spec();
      Settings.Team team = settings.teams().get(spec.team());
      if (!run.isReleased() || team == null || (team.cpus() <= 0 && team.cards() <= 0)) {
        continue;
      }
      double[] d = demanded.computeIfAbsent(spec.team(), k -> new double[2]);
      d[0] += run.unfinished() * spec.cpus();
      d[1] += run.unfinished() * spec.cards();
      if (d[0] <= team.cpus() + 1e-9 && d[1] <= team.cards() + 1e-9) {
        guaranteed.add(spec.id());
      }
    }
    return guaranteed;
  }

  private Map<String, Integer> zonesOf(Run run) {
    Map<String, Integer> zones = new HashMap<>();
    for (List<Attempt> attempts : run.attempts().values()) {
      for (Attempt a : attempts) {
        Machine m = fleet.get(a.start().machine());
        if (m != null && a.mayBePresent()) {
          zones.merge(m.zone() == null ? Snapshot.UNKNOWN_ZONE : m.zone(), 1, Integer::sum);
        }
      }
    }
    return zones;
  }

  // ---------------------------------------------------------------- finished tasks

  /**
   * Writes finished tasks: jobs that are done at once, parts of others together and now and then.
   * Each part is a write, and there are hundreds of ends a minute against a few dozen writes a
   * second for everything; a part that is not written is not cleared either, so nothing is lost.
   */
  private void flush() {
    if (flushing || dirty.isEmpty() || phase != Phase.ACTIVE) {
      return;
    }
    Txn txn = new Txn().when(Keys.EPOCH, lease.epochRevision());
    Map<Run, BitSet> written = new LinkedHashMap<>();
    Map<String, Lookup.Final> ends = new LinkedHashMap<>();
    for (Run run : dirty) {
      if (run.unfinished() == 0
          && txn.ops() + JobStore.CHANGES_PER_END <= limits.txnOps()) {
        Lookup.Final end =
            new Lookup.Final(JobState.DONE, run.job().spec().tasks(), host.wallMs());
        JobStore.addFinal(txn, run.job(), end);
        ends.put(run.job().spec().id(), end);
      }
    }
    if (ends.isEmpty() && host.nowMs() - partsFlushedAt >= Constants.FLUSH_PARTS_MS) {
      boolean all = true;
      for (Run run : dirty) {
        all &= addParts(run, txn, written);
      }
      if (all) {
        partsFlushedAt = host.nowMs();
      }
    }
    if (txn.ops() == 0) {
      return;
    }
    flushing = true;
    state.txn(
        ends.isEmpty() ? StateClient.Lane.UPKEEP : StateClient.Lane.ROUND,
        txn,
        result -> {
          flushing = false;
          if (phase == Phase.CLOSED) {
            return;
          }
          if (result instanceof TxnResult.Applied applied) {
            written.forEach(
                (run, covered) -> {
                  run.durable(covered);
                  if (!run.isDirty()) {
                    dirty.remove(run);
                  }
                });
            store.madeFinal(txn, applied.revision(), ends);
            ends.keySet().forEach(id -> dirty.remove(runs.remove(id)));
            flush();
            changed();
          } else {
            if (result instanceof TxnResult.Conflict c) {
              conflict(c);
              // A job that was withdrawn has no record any more: its tasks need not be kept.
              dirty.removeIf(run -> c.failed().contains(Keys.job(run.job().spec().id())));
            }
            host.after(Constants.RETRY_MS, this::flush);
          }
        });
  }

  /** Adds a job's newly finished tasks as far as the transaction has room; true if all fitted. */
  private boolean addParts(Run run, Txn txn, Map<Run, BitSet> written) {
    String id = run.job().spec().id();
    BitSet covered = run.job().finished().get(0, run.job().spec().tasks());
    boolean all = true;
    boolean any = false;
    for (int chunk : run.dirtyChunks()) {
      if (txn.ops() >= limits.txnOps() || txn.conditions() >= limits.conditions()) {
        all = false;
        break;
      }
      any = true;
      txn.write(
          Keys.finished(id, chunk),
          Job.writeChunk(chunk, run.finishedTasks(), limits.valueBytes(), covered));
    }
    if (any) {
      txn.when(Keys.job(id), run.job().revision());
      written.put(run, covered);
    }
    return all;
  }

  // ---------------------------------------------------------------- sweeping

  private long sweptAt;

  /** Removes round records without live attempts, and finished tasks of jobs that are final. */
  private void sweep() {
    if (sweeping || !lease.mayStart() || host.nowMs() - sweptAt < Constants.SWEEP_MS) {
      return;
    }
    sweptAt = host.nowMs();
    Txn txn = new Txn().when(Keys.EPOCH, lease.epochRevision());
    int most = limits.txnOps();
    String ours = Keys.ROUND + String.format("%010d", epoch);
    for (Map.Entry<String, RoundRecord> e : table.rounds().entrySet()) {
      if (txn.ops() >= most) {
        break;
      }
      boolean needed = roundRunning && e.getKey().startsWith(ours);
      for (RoundRecord.Start s : e.getValue().starts()) {
        Attempt a = fleet.find(s.machine(), s.task(), s.attempt());
        needed |= a != null && a.mayBePresent();
      }
      if (!needed) {
        txn.remove(e.getKey());
      }
    }
    for (String key : replica.keys(Keys.FINISHED).keySet()) {
      if (txn.ops() >= most) {
        break;
      }
      String id = key.substring(Keys.FINISHED.length(), key.lastIndexOf('/'));
      if (table.get(id) == null) {
        txn.remove(key);
      }
    }
    for (String key : replica.keys(Keys.NEEDS).keySet()) {
      if (txn.ops() >= most) {
        break;
      }
      String id = key.substring(Keys.NEEDS.length(), key.lastIndexOf('/'));
      if (table.get(id) == null) {
        // Its job came after it, or is over: which of them, the condition tells.
        txn.when(Keys.job(id), 0).remove(key);
      }
    }
    if (txn.ops() == 0) {
      return;
    }
    sweeping = true;
    state.txn(
        StateClient.Lane.UPKEEP,
        txn,
        result -> {
          sweeping = false;
          if (result instanceof TxnResult.Applied applied) {
            replica.applied(txn, applied.revision());
            if (txn.ops() >= most) {
              // More is left: rounds are written faster than one sweep a pause removes them.
              sweptAt = Long.MIN_VALUE / 2;
            }
          }
        });
  }
}
