package fennelthread.jobs;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import fennelthread.Constants;
import fennelthread.net.Host;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Limits;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Acceptance, withdrawal and questions, on any controller: each is a comparison with the job's one
 * record in the state service, so that no controller can give an older answer than another gave.
 */
public final class JobStore {
  /** What became of an acceptance. */
  public enum Accepted {
    NEW,
    KNOWN,
    UNAVAILABLE,
    TOO_LARGE
  }

  /** What is known of the jobs that a submission names. */
  public sealed interface Needs {
    /** All were accepted, and none is a service; {@code withdrawn} if one of them is. */
    record Good(boolean withdrawn) implements Needs {}

    /** One was never accepted, or is a service. */
    record Bad(String why) implements Needs {}

    /** The state service can't be asked now. */
    record Unavailable() implements Needs {}
  }

  /**
   * A checked submission with the records that will be written for it; {@code end} is not null if
   * it is over as soon as it is accepted.
   */
  public record Prepared(JobSpec spec, Map<String, Fields> records, Lookup.Final end) {
    int bytes() {
      int bytes = 0;
      for (Fields record : records.values()) {
        bytes += Limits.bytes(record) + Constants.TXN_BYTES_PER_CHANGE;
      }
      return bytes;
    }
  }

  /** A submission in the queue; {@code alone} once it was refused together with others. */
  private record Pending(Prepared job, int bytes, boolean alone, List<Consumer<Accepted>> callers) {
    String id() {
      return job.spec.id();
    }
  }

  private final Host host;
  private final StateClient state;
  private final Replica replica;
  private final JobTable table;
  private final Limits limits;
  private final DependencyTracker waits;
  private final Cache<String, Lookup.Final> finals =
      Caffeine.newBuilder().maximumSize(Constants.FINAL_CACHE).executor(Runnable::run).build();
  private final Map<String, Pending> queue = new LinkedHashMap<>();
  private final Map<String, Pending> underWay = new HashMap<>();
  private int accepting;
  private final Map<String, List<Consumer<Lookup>>> confirmQueue = new LinkedHashMap<>();
  private int confirming;
  private boolean cascading;
  private final Consumer<String> onWithdrawn;

  /**
   * Creates a store over the given replica; {@code onWithdrawn} is told of each job before any user
   * is told that it is withdrawn.
   */
  public JobStore(
      Host host,
      StateClient state,
      Replica replica,
      JobTable table,
      Settings settings,
      Consumer<String> onWithdrawn) {
    this.onWithdrawn = onWithdrawn;
    this.host = host;
    this.state = state;
    this.replica = replica;
    this.table = table;
    this.limits = state.limits();
    this.waits =
        new DependencyTracker(
            host,
            table,
            settings,
            new DependencyTracker.Ends() {
              @Override
              public Lookup.Final known(String id) {
                return finals.getIfPresent(id);
              }

              @Override
              public void read(String id, Consumer<Lookup.Final> done) {
                readFinal(id, found -> done.accept(found instanceof Lookup.Final f ? f : null));
              }
            });
  }

  /** Which jobs wait for which. */
  public DependencyTracker waits() {
    return waits;
  }

  /**
   * Makes the records of a job that is to be accepted.
   *
   * @throws WireException naming the field that is too large for the state service
   */
  public Prepared prepare(JobSpec spec) throws WireException {
    return new Prepared(spec, Job.write(spec, host.wallMs(), limits), null);
  }

  /**
   * The same job, accepted and withdrawn in one: it names a withdrawn one. Accepted as pending
   * first, it would be called so long after its user was told of the withdrawal.
   */
  public Prepared withdrawn(Prepared job) {
    Lookup.Final end = new Lookup.Final(JobState.WITHDRAWN, 0, host.wallMs());
    return new Prepared(job.spec, Map.of(Keys.finalJob(job.spec.id()), end.write()), end);
  }

  /** Gives up what can be read again. */
  public void shed() {
    finals.invalidateAll();
  }

  /** How much is held, for a line of the log. */
  public String census() {
    return finals.estimatedSize()
        + " final answers, "
        + queue.size()
        + " submissions and "
        + confirmQueue.size()
        + " questions waiting";
  }

  /** True if this controller knows without asking that the job was accepted. */
  public boolean isKnown(String id) {
    return table.get(id) != null || finals.getIfPresent(id) != null;
  }

  /**
   * Checks that every job that a submission needs was accepted. What is checked here is written
   * later, and may be: an id once accepted stays accepted, whatever becomes of its job. A job that
   * is missing in the replica proves nothing, since that may be behind; then the state service is
   * asked.
   */
  public void checkNeeds(JobSpec spec, Consumer<Needs> done) {
    List<String> toRead = new ArrayList<>();
    boolean withdrawn = false;
    for (String need : spec.needs()) {
      Job job = table.get(need);
      if (job != null && job.spec().service()) {
        done.accept(new Needs.Bad("names the service " + need));
        return;
      }
      Lookup.Final end = finals.getIfPresent(need);
      if (job == null && end == null) {
        toRead.add(need);
      }
      withdrawn |= isWithdrawn(need, end);
    }
    if (toRead.isEmpty()) {
      done.accept(new Needs.Good(withdrawn));
    } else if (!state.answersSoon(0)) {
      done.accept(new Needs.Unavailable());
    } else {
      readNeeds(toRead, 0, withdrawn, done);
    }
  }

  private boolean isWithdrawn(String id, Lookup found) {
    return waits.graph().isDoomed(id)
        || (found instanceof Lookup.Final end && end.state() == JobState.WITHDRAWN);
  }

  private void readNeeds(List<String> needs, int at, boolean withdrawn, Consumer<Needs> done) {
    if (at == needs.size()) {
      done.accept(new Needs.Good(withdrawn));
      return;
    }
    String need = needs.get(at);
    read(
        need,
        found -> {
          if (found instanceof Lookup.Unavailable) {
            done.accept(new Needs.Unavailable());
          } else if (found instanceof Lookup.Unknown) {
            done.accept(new Needs.Bad("names " + need + ", which was never accepted"));
          } else if (found instanceof Lookup.Live live && live.job().spec().service()) {
            done.accept(new Needs.Bad("names the service " + need));
          } else {
            readNeeds(needs, at + 1, withdrawn || isWithdrawn(need, found), done);
          }
        });
  }

  /** Accepts a checked job with one durable write; several that wait share one transaction. */
  public void accept(Prepared job, Consumer<Accepted> done) {
    String id = job.spec.id();
    if (isKnown(id)) {
      // A transaction would fail with all that share it, and count against the write limit too.
      done.accept(Accepted.KNOWN);
      return;
    }
    Pending known = queue.getOrDefault(id, underWay.get(id));
    if (known != null) {
      known.callers.add(done);
      return;
    }
    if (queue.size() >= Constants.ACCEPT_QUEUE || !state.answersSoon(1 + queue.size())) {
      done.accept(Accepted.UNAVAILABLE);
      return;
    }
    List<Consumer<Accepted>> callers = new ArrayList<>();
    callers.add(done);
    queue.put(id, new Pending(job, job.bytes(), false, callers));
    acceptNext();
  }

  private void acceptNext() {
    if (accepting >= Constants.ACCEPTS_AT_ONCE || queue.isEmpty()) {
      return;
    }
    accepting++;
    List<Pending> batch = new ArrayList<>();
    Txn txn = new Txn();
    int bytes = 0;
    for (Pending p : queue.values()) {
      bytes += p.bytes;
      if (!batch.isEmpty()
          && (p.alone
              || batch.get(0).alone
              || txn.ops() + p.job.records.size() > limits.txnOps()
              || bytes > limits.txnBytes())) {
        break;
      }
      batch.add(p);
      txn.when(Keys.job(p.id()), 0).when(Keys.finalJob(p.id()), 0);
      p.job.records.forEach(txn::write);
    }
    for (Pending p : batch) {
      queue.remove(p.id());
      underWay.put(p.id(), p);
    }
    state.txn(
        StateClient.Lane.ANSWER,
        txn,
        result -> {
          accepting--;
          batch.forEach(p -> underWay.remove(p.id()));
          if (result instanceof TxnResult.Applied applied) {
            Map<String, Lookup.Final> ends = new HashMap<>();
            for (Pending p : batch) {
              if (p.job.end != null) {
                ends.put(p.id(), p.job.end);
              }
            }
            madeFinal(txn, applied.revision(), ends);
            batch.forEach(p -> tell(p, Accepted.NEW));
          } else if (result instanceof TxnResult.Conflict conflict) {
            Set<String> failed = new HashSet<>(conflict.failed());
            for (Pending p : batch) {
              if (failed.contains(Keys.job(p.id())) || failed.contains(Keys.finalJob(p.id()))) {
                tell(p, Accepted.KNOWN);
              } else if (failed.isEmpty()) {
                tell(p, Accepted.UNAVAILABLE);
              } else {
                again(p);
              }
            }
          } else if (result instanceof TxnResult.TooLarge && batch.size() > 1) {
            // Whichever is too large must not be refused together with the others for ever.
            batch.forEach(p -> again(new Pending(p.job, p.bytes, true, p.callers)));
          } else if (result instanceof TxnResult.TooLarge) {
            tell(batch.get(0), Accepted.TOO_LARGE);
          } else {
            batch.forEach(p -> tell(p, Accepted.UNAVAILABLE));
          }
          acceptNext();
        });
  }

  private void again(Pending pending) {
    queue.merge(
        pending.id(),
        pending,
        (a, b) -> {
          a.callers.addAll(b.callers);
          return a;
        });
  }

  private static void tell(Pending pending, Accepted outcome) {
    pending.callers.forEach(c -> c.accept(outcome));
  }

  /**
   * Asks for a job's current state. A job that is to be withdrawn with one that it needs is
   * withdrawn before the answer, so that this does not depend on a leader being there.
   */
  public void lookup(String id, Consumer<Lookup> done) {
    confirm(
        id,
        found -> {
          if (found instanceof Lookup.Live && waits.graph().isDoomed(id)) {
            withdraw(id, Constants.JOB_TRIES, done);
          } else {
            done.accept(found);
          }
        });
  }

  private void confirm(String id, Consumer<Lookup> done) {
    Lookup.Final known = finals.getIfPresent(id);
    if (known != null) {
      done.accept(known);
      return;
    }
    if (!state.answersSoon(0)) {
      done.accept(new Lookup.Unavailable());
      return;
    }
    if (table.get(id) == null) {
      read(id, done);
      return;
    }
    confirmQueue.computeIfAbsent(id, k -> new ArrayList<>()).add(done);
    confirmNext();
  }

  /** One transaction that only compares confirms all live jobs that were asked about meanwhile. */
  private void confirmNext() {
    if (confirming >= Constants.CONFIRMS_AT_ONCE || confirmQueue.isEmpty()) {
      return;
    }
    Txn txn = new Txn();
    Map<String, List<Consumer<Lookup>>> batch = new LinkedHashMap<>();
    Map<String, Job> jobs = new LinkedHashMap<>();
    for (Map.Entry<String, List<Consumer<Lookup>>> e : confirmQueue.entrySet()) {
      if (batch.size() >= limits.conditions()) {
        break;
      }
      batch.put(e.getKey(), e.getValue());
      Job job = table.get(e.getKey());
      if (job != null) {
        jobs.put(e.getKey(), job);
        txn.when(Keys.job(e.getKey()), job.revision());
      }
    }
    batch.keySet().forEach(confirmQueue::remove);
    confirming++;
    state.txn(
        StateClient.Lane.ANSWER,
        txn,
        result -> {
          confirming--;
          Set<String> failed =
              result instanceof TxnResult.Conflict c ? new HashSet<>(c.failed()) : Set.of();
          batch.forEach(
              (id, callers) -> {
                Job job = jobs.get(id);
                if (job == null || failed.contains(Keys.job(id))) {
                  read(id, l -> callers.forEach(c -> c.accept(l)));
                } else if (result instanceof TxnResult.Applied) {
                  callers.forEach(c -> c.accept(new Lookup.Live(job)));
                } else if (!failed.isEmpty()) {
                  confirmQueue.computeIfAbsent(id, k -> new ArrayList<>()).addAll(callers);
                } else {
                  callers.forEach(c -> c.accept(new Lookup.Unavailable()));
                }
              });
          confirmNext();
        });
  }

  /**
   * Reads the live record, then the final one. The order matters: a record moves from live to final
   * in one transaction, so that a job found in neither was unknown when the first was read.
   */
  private void read(String id, Consumer<Lookup> done) {
    state.get(
        Keys.job(id),
        live -> {
          if (live == null) {
            done.accept(new Lookup.Unavailable());
            return;
          }
          if (live.value() != null) {
            try {
              Job job = table.get(id);
              done.accept(
                  new Lookup.Live(job != null ? job : Job.read(live.value(), live.revision())));
            } catch (WireException e) {
              done.accept(new Lookup.Unavailable());
            }
            return;
          }
          readFinal(id, done);
        });
  }

  private void readFinal(String id, Consumer<Lookup> done) {
    state.get(
        Keys.finalJob(id),
        last -> {
          if (last == null) {
            done.accept(new Lookup.Unavailable());
          } else if (last.value() == null) {
            done.accept(new Lookup.Unknown());
          } else {
            try {
              Lookup.Final f = Lookup.Final.read(last.value());
              know(id, f);
              done.accept(f);
            } catch (WireException e) {
              done.accept(new Lookup.Unavailable());
            }
          }
        });
  }

  /** Takes note of a final record: the one place where it becomes known here. */
  private void know(String id, Lookup.Final end) {
    finals.put(id, end);
    if (end.state() == JobState.WITHDRAWN) {
      onWithdrawn.accept(id);
    }
    waits.learned(id, end);
  }

  /** Withdraws a job unless it is done: gets what the job is from now on. */
  public void withdraw(String id, Consumer<Lookup> done) {
    withdraw(id, Constants.JOB_TRIES, done);
  }

  private void withdraw(String id, int tries, Consumer<Lookup> done) {
    confirm(
        id,
        found -> {
          if (!(found instanceof Lookup.Live live)) {
            done.accept(found);
            return;
          }
          if (tries == 0) {
            done.accept(new Lookup.Unavailable());
            return;
          }
          Lookup.Final end = withdrawn(live.job());
          Txn txn = new Txn();
          addFinal(txn, live.job(), end);
          state.txn(
              StateClient.Lane.ANSWER,
              txn,
              result -> {
                if (result instanceof TxnResult.Applied applied) {
                  madeFinal(txn, applied.revision(), Map.of(id, end));
                  done.accept(end);
                } else if (result instanceof TxnResult.Refused
                    || result instanceof TxnResult.TooLarge) {
                  done.accept(new Lookup.Unavailable());
                } else {
                  withdraw(id, tries - 1, done);
                }
              });
        });
  }

  /**
   * Withdraws the jobs that are to be withdrawn with others, some at a time; the caller asks again
   * until none is left. Nothing is remembered between two calls: what is to be withdrawn follows
   * from the records.
   */
  public void cascade() {
    if (cascading || waits.graph().doomed().isEmpty()) {
      return;
    }
    Txn txn = new Txn();
    Map<String, Lookup.Final> ends = new LinkedHashMap<>();
    for (Job job : waits.graph().doomed()) {
      if (txn.ops() + Constants.CHANGES_PER_END > limits.txnOps()) {
        break;
      }
      Lookup.Final end = withdrawn(job);
      addFinal(txn, job, end);
      ends.put(job.spec().id(), end);
    }
    cascading = true;
    state.txn(
        StateClient.Lane.ROUND,
        txn,
        result -> {
          cascading = false;
          if (result instanceof TxnResult.Applied applied) {
            madeFinal(txn, applied.revision(), ends);
            cascade();
          }
        });
  }

  private Lookup.Final withdrawn(Job job) {
    return new Lookup.Final(JobState.WITHDRAWN, job.finished().cardinality(), host.wallMs());
  }

  /** Adds the changes that make a live job final, on condition that it still is what is known. */
  public static void addFinal(Txn txn, Job job, Lookup.Final end) {
    String id = job.spec().id();
    txn.when(Keys.job(id), job.revision())
        .remove(Keys.job(id))
        .write(Keys.finalJob(id), end.write());
  }

  /** Takes note of a transaction that made jobs final. */
  public void madeFinal(Txn txn, long revision, Map<String, Lookup.Final> ends) {
    // First all of them: whoever is told of a removal asks why.
    ends.forEach(this::know);
    replica.applied(txn, revision);
  }
}
