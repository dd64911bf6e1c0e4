package fennelthread;

import fennelthread.api.Api;
import fennelthread.election.Membership;
import fennelthread.fleet.Cloud;
import fennelthread.fleet.ReportOrder;
import fennelthread.handover.Handover;
import fennelthread.health.HeapGuard;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import fennelthread.leader.Lease;
import fennelthread.leader.Term;
import fennelthread.leaserenewal.CancellationLog;
import fennelthread.leaserenewal.FollowerLeaseRenewer;
import fennelthread.leaserenewal.RenewalBounds;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.Host;
import fennelthread.net.Service;
import fennelthread.net.StallDetector;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.relay.CommandSender;
import fennelthread.relay.Leader;
import fennelthread.relay.LeaderReachability;
import fennelthread.relay.Relay;
import fennelthread.relay.UnreachableLeaderNotice;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.MachineType;
import fennelthread.wire.Redirect;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerReport;
import fennelthread.zones.Zones;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: puts the parts together. Everything here runs on the host's one thread. */
public final class Controller {
  private static final Logger log = LoggerFactory.getLogger(Controller.class);

  private final Host host;
  private final Settings settings;
  private final Options options;
  private final StateClient state;
  private final Replica replica;
  private final JobTable table = new JobTable();
  private final CancellationLog withdrawals;
  private final JobStore store;
  private final Cloud cloud;
  private final Lease lease;
  private final PeerHeartbeats mesh;
  private final Api api;
  private final LeaderReachability hearing;
  private final Relay relay;
  private final CommandSender courier;
  private final UnreachableLeaderNotice petition;
  private final String incarnation;
  private final Map<String, Long> beatsHeard = new LinkedHashMap<>();
  private final Map<String, String> addresses = new LinkedHashMap<>();
  private Map<String, MachineType> flavors = new LinkedHashMap<>();
  private final Handover handover;
  private final HeapGuard heap;
  private final Membership membership;
  private final FollowerLeaseRenewer keeper;
  private final Zones zones;
  private final StallDetector wake;
  private final ReportOrder arrivals = new ReportOrder();
  private Term term;
  private Term resigned;
  private long ledSince;
  private boolean readingFlavors;
  private Leader leaderHeard = new Leader(null, 0);

  /** Creates a controller; {@link #start} sets it going. */
  public Controller(Host host, Settings settings, Options options) {
    this.host = host;
    this.settings = settings;
    this.options = options;
    this.incarnation = Long.toHexString(host.random().nextLong());
    this.state = new StateClient(host, settings);
    this.replica = new Replica(host, state);
    replica.listen(table);
    replica.listen((key, value, revision) -> changed(key, value));
    this.withdrawals =
        new CancellationLog(
            host, 2 * (settings.workers().cancelMs() + settings.workers().leaseMs()));
    table.listen(
        new JobTable.Listener() {
          @Override
          public void added(Job job) {}

          @Override
          public void removed(Job job) {
            withdrawals.over(job.spec().id());
          }
        });
    this.store = new JobStore(host, state, replica, table, settings, withdrawals::mayTell);
    this.cloud = new Cloud(host, settings);
    this.lease =
        new Lease(
            host,
            state,
            replica,
            settings,
            options,
            incarnation,
            this::isBacked,
            this::stillUnbounded,
            new Lease.Listener() {
              @Override
              public void elected(long epoch, long epochRevision) {
                Controller.this.elected(epoch);
              }

              @Override
              public void deposed(String why) {
                Controller.this.deposed();
              }
            });
    this.mesh = new PeerHeartbeats(host, settings, this::greeting, this::workers, this::heard);
    this.hearing = new LeaderReachability(settings.workers().reportMs());
    this.relay = new Relay(host, settings, mesh);
    this.courier = new CommandSender(host, settings, mesh, hearing, lease::highestEpoch);
    this.petition =
        new UnreachableLeaderNotice(host, state, replica, settings.member(), this::heedPetition);
    this.heap = new HeapGuard(host, this::census, store::shed);
    this.membership = new Membership(host, settings, mesh, state, replica, lease);
    this.handover = new Handover(state, mesh);
    this.keeper =
        new FollowerLeaseRenewer(
            host,
            settings,
            mesh,
            withdrawals,
            replica,
            lease::isLeading,
            lease::epoch,
            lease::highestEpoch);
    this.zones = new Zones(settings);
    this.wake = new StallDetector(host);
    mesh.serve("/relay/", courier.service(this::relayed));
    this.api =
        new Api(
            host,
            settings,
            store,
            table,
            () -> flavors,
            this::isUp,
            mesh::oldSiblingHeard,
            heap::isTight,
            this::beat);
  }

  /** Sets it going. */
  public void start() {
    log.info("{} starts, incarnation {}", settings.member(), incarnation);
    if (RenewalBounds.shortfallMs(settings.workers()) > 0) {
      log.warn(
          "cancel_s of {} ms leaves too little room beside lease_s of {} ms: a cut-off task may outlive its"
              + " withdrawal by {} ms",
          settings.workers().cancelMs(),
          settings.workers().leaseMs(),
          RenewalBounds.shortfallMs(settings.workers()));
    }
    replica.start();
    replica.onAdvance(this::loaded);
    wake.start();
    mesh.start();
    membership.start();
    readFlavors();
    supervise();
  }

  /** What users, workers and health checks talk to. */
  public Service api() {
    return api;
  }

  /** What siblings talk to. */
  public Service mesh() {
    return mesh;
  }

  /** True while this controller leads; for tests and logs. */
  public boolean isLeading() {
    return lease.isLeading();
  }

  private boolean isBacked() {
    return membership.backs();
  }

  private long stillUnbounded(long epoch) {
    return mesh.allBound(epoch) ? 0 : epoch;
  }

  private String census() {
    return table.census()
        + ", "
        + store.census()
        + ", "
        + addresses.size()
        + " addresses, "
        + (term == null ? "not leading" : term.census());
  }

  private void loaded() {
    log.info("{} has read the state, revision {}", settings.member(), replica.revision());
    lease.consider();
  }

  private void changed(String key, Fields value) {
    if (key.equals(Keys.FLAVORS) && value != null && flavors.isEmpty()) {
      try {
        setFlavors(MachineType.readAll(value));
      } catch (WireException e) {
        log.error("unreadable {}: {}", key, e.getMessage());
      }
    }
  }

  private void setFlavors(List<MachineType> list) {
    Map<String, MachineType> map = new LinkedHashMap<>();
    list.forEach(f -> map.put(f.name(), f));
    flavors = map;
  }

  /** Every controller must know the types to judge submissions. */
  private void readFlavors() {
    if (readingFlavors || !flavors.isEmpty()) {
      return;
    }
    readingFlavors = true;
    cloud.flavors(
        list -> {
          readingFlavors = false;
          if (list != null && !list.isEmpty()) {
            setFlavors(list);
          } else {
            host.after(1_000, this::readFlavors);
          }
        });
  }

  private void keepFlavors(List<MachineType> list) {
    setFlavors(list);
    List<MachineType> plain = new ArrayList<>();
    for (MachineType f : list) {
      // Prices move all the time; what is kept for starts need not follow them.
      plain.add(
          new MachineType(
              f.name(),
              f.cpus(),
              f.cards(),
              f.memGb(),
              f.cacheGb(),
              f.fetchGbPerS(),
              0,
              0,
              f.bootS(),
              f.zones()));
    }
    Fields value = MachineType.writeAll(plain);
    byte[] encoded = Codec.JSON.encode(value);
    Fields kept = replica.get(Keys.FLAVORS);
    if (encoded.length > state.limits().valueBytes()) {
      log.info("machine types need {} bytes and are not kept for an outage", encoded.length);
      return;
    }
    if (kept != null && Arrays.equals(Codec.JSON.encode(kept), encoded)) {
      return;
    }
    state.txn(
        StateClient.Lane.UPKEEP,
        new Txn().when(Keys.EPOCH, lease.epochRevision()).write(Keys.FLAVORS, value),
        r -> {});
  }

  // ---------------------------------------------------------------- leading

  private void elected(long epoch) {
    log.info("{} leads, epoch {}", settings.member(), epoch);
    ledSince = host.nowMs();
    hearing.begin(ledSince);
    courier.begin(epoch);
    membership.elected(epoch);
    keeper.elected();
    zones.begin(ledSince);
    endResigned();
    term =
        new Term(
            host,
            settings,
            options,
            state,
            replica,
            table,
            store,
            lease,
            cloud,
            () -> flavors,
            this::keepFlavors,
            () -> othersSilentSince(epoch),
            courier,
            zones,
            wake,
            withdrawals::isOver,
            keeper.gate(),
            new LinkedHashMap<>(addresses));
    mesh.greetAll();
  }

  /** Since when nobody but us can have answered a report, as far as that is known. */
  private long othersSilentSince(long epoch) {
    return Math.max(
        keeper.othersSilentSinceMs(epoch, ledSince, lease.unboundedEpoch()), keeper.lastKeptMs());
  }

  private void deposed() {
    log.info("{} no longer leads", settings.member());
    if (term != null) {
      term.resign();
      resigned = term;
      term = null;
    }
  }

  private void endResigned() {
    if (resigned != null) {
      resigned.close();
      resigned = null;
    }
  }

  /** Yields when only this controller is refused, or when workers reach only the others. */
  private void supervise() {
    host.after(Constants.SUPERVISE_MS, this::supervise);
    heap.look();
    long now = host.nowMs();
    beatsHeard.values().removeIf(at -> now - at > Constants.SIBLING_SILENT_MS);
    if (replica.isReady()
        && now - Math.min(state.servedAtMs(), replica.readAtMs()) > Constants.SERVED_CHECK_MS) {
      // An open watch stays silent in an outage, and while nothing changes: siblings rely on this
      // to tell an
      // outage from a refusal that only they get, and how current our copy is decides how long
      // leases may
      // be kept alive.
      state.changes(
          changes -> {
            if (changes >= 0) {
              replica.confirmed(changes, now);
            }
          });
    }
    if (!lease.isLeading()) {
      lease.consider();
      petition();
      return;
    }
    listen(now);
    if (refusedAlone()) {
      lease.stepDown("the state service refuses only us", Constants.YIELD_PAUSE_MS);
      handover.endThroughSiblings(lease.grant());
      return;
    }
    long unheard =
        (long) Math.max(3_000, settings.workers().reportMs() * Constants.UNHEARD_REPORTS);
    long last = Math.max(ledSince, term == null ? 0 : term.lastBeatAt());
    if (now - last > unheard && mesh.siblingsHearBeats() > 0) {
      lease.stepDown("workers reach only the others", Constants.YIELD_PAUSE_MS);
    }
  }

  /** Looks whether this leader still hears its workers itself, and asks some if it does not. */
  private void listen(long now) {
    if (term == null) {
      return;
    }
    if (hearing.look(now, term.reporting())) {
      log.info("no report reaches us any more: workers are reached through siblings from now on");
      mesh.greetAll();
    }
    if (!hearing.isDeaf()) {
      return;
    }
    heedPetition();
    if (term == null) {
      return;
    }
    List<String> all = List.copyOf(term.addresses().values());
    for (int i = 0; i < Math.min(all.size(), Constants.DEAF_QUESTIONS); i++) {
      host.call(
          all.get(host.random().nextInt(all.size())),
          Call.get("/show").asSpare(),
          Constants.PROBE_TIMEOUT_MS,
          answer -> {
            if (answer != null) {
              hearing.reached(host.nowMs());
            }
          });
    }
  }

  /**
   * Yields if no worker reaches us and a sibling says, where the mesh does not, that they come to
   * it.
   */
  private void heedPetition() {
    if (lease.isLeading() && hearing.isDeaf() && petition.wasRead(lease.epoch())) {
      lease.stepDown(
          "workers reach only the others, the state service says", Constants.YIELD_PAUSE_MS);
    }
  }

  /** Tells a leader that can't be reached over the mesh that its workers come here, if they do. */
  private void petition() {
    Leader leader = leader();
    if (leader.member() == null
        || leader.member().equals(settings.member())
        || mesh.silentMs(leader.member()) < Constants.PETITION_SILENT_MS) {
      petition.clear();
      return;
    }
    petition.consider(leader.epoch(), addresses.size());
  }

  /** Who leads: the state service says so, or a sibling whose claim our copy has not reached. */
  private Leader leader() {
    return leaderHeard.epoch() > lease.recordedEpoch()
        ? leaderHeard
        : new Leader(lease.leaderMember(), lease.leaderEpoch());
  }

  /** Answers a report if we lead, or led and nobody else has since; null otherwise. */
  private Answer answerAsLeader(WorkerReport beat, String by) {
    if (term != null && lease.isLeading() && lease.epoch() >= lease.highestEpoch()) {
      return term.beat(beat, by);
    }
    if (resigned != null && resigned.epoch() < lease.highestEpoch()) {
      endResigned();
    }
    // Nobody has claimed since, as far as anyone has told us: nobody else can keep tasks alive.
    return resigned == null ? null : resigned.beat(beat, by);
  }

  /** Answers a report that a sibling passes on, which takes the epoch to be this. */
  private Answer relayed(WorkerReport beat, long epoch, String from) {
    lease.heardOf(epoch);
    return epoch == lease.epoch() && !arrivals.isCopy(beat) ? answerAsLeader(beat, from) : null;
  }

  private void beat(WorkerReport beat, Consumer<Answer> reply) {
    if (arrivals.isCopy(beat)) {
      // Nobody waits for its answer; whatever it says was true long ago.
      reply.accept(Answer.of(421, Codec.CBOR, new Redirect(null).write()));
      return;
    }
    Answer answer = answerAsLeader(beat, settings.member());
    if (answer != null) {
      hearing.heard(host.nowMs());
      courier.direct(beat.machine());
      reply.accept(answer);
      return;
    }
    beatsHeard.put(beat.machine(), host.nowMs());
    addresses.put(beat.machine(), beat.address());
    trimAddresses();
    Leader leader = leader();
    boolean other = leader.member() != null && !settings.member().equals(leader.member());
    if (other && beat.token() >> Constants.TOKEN_BITS == leader.epoch()) {
      petition.came(beat.machine());
      petition();
    }
    Answer kept = keeper.keep(beat);
    if (kept != null) {
      reply.accept(kept);
      return;
    }
    Relay.Decision decision = other ? relay.take(beat, leader, reply) : Relay.Decision.TO_NEXT;
    if (decision != Relay.Decision.PASSED_ON) {
      boolean silent = !other || mesh.silentMs(leader.member()) > Constants.KEEP_STILL_MS;
      String keeping = silent ? mesh.anyKeeping() : null;
      String to =
          keeping != null ? keeping : decision == Relay.Decision.TO_LEADER ? leader.member() : null;
      reply.accept(Answer.of(421, Codec.CBOR, new Redirect(to).write()));
    }
  }

  private void trimAddresses() {
    while (addresses.size() > Constants.KNOWN_ADDRESSES) {
      addresses.remove(addresses.keySet().iterator().next());
    }
  }

  // ---------------------------------------------------------------- siblings

  private PeerHeartbeat greeting() {
    return new PeerHeartbeat(
        settings.member(),
        incarnation,
        lease.highestEpoch(),
        lease.isLeading(),
        host.nowMs() - state.servedAtMs(),
        beatsHeard.size(),
        lease.isLeading() && hearing.isDeaf());
  }

  /** The workers' addresses that siblings should know in case they have to lead. */
  private Map<String, String> workers() {
    return term == null ? Map.of() : term.addresses();
  }

  private void heard(PeerHeartbeat greeting) {
    lease.heardOf(greeting.epoch());
    if (greeting.leading() && greeting.epoch() >= leaderHeard.epoch()) {
      leaderHeard = new Leader(greeting.member(), greeting.epoch());
    }
    if (greeting.leading() && greeting.epoch() >= lease.highestEpoch()) {
      addresses.putAll(greeting.workers());
      greeting.gone().forEach(addresses::remove);
      trimAddresses();
    }
  }

  private boolean refusedAlone() {
    return state.refusedForMs() > Constants.REFUSED_ALONE_MS
        && mesh.siblingServedAfter(state.servedAtMs() + Constants.REFUSED_ALONE_MS / 2);
  }

  private boolean isUp() {
    return replica.isReady() && !refusedAlone();
  }
}
