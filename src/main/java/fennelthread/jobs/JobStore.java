package fennelthread.jobs;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import fennelthread.Constants;
import fennelthread.net.Host;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.Codec;
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
  private static final int MAX_TRIES = 4;

  /** What became of an acceptance. */
  public enum Accepted {
    NEW,
    KNOWN,
    UNAVAILABLE
  }

  private record Pending(JobSpec spec, Fields value, int bytes, List<Consumer<Accepted>> callers) {}

  private final Host host;
  private final StateClient state;
  private final Replica replica;
  private final JobTable table;
  private final Settings.State limits;
  private final Cache<String, Lookup.Final> finals =
      Caffeine.newBuilder()
          .maximumSize(Constants.FINAL_CACHE)
          .executor(Runnable::run)
          .build();
  private final Map<String, Pending> queue = new LinkedHashMap<>();
  private final Map<String, Pending> underWay = new HashMap<>();
  private int accepting;
  private final Map<String, List<Consumer<Lookup>>> confirmQueue = new LinkedHashMap<>();
  private int confirming;

  /** Creates a store over the given replica. */
  public JobStore(
      Host host, StateClient state, Replica replica, JobTable table, Settings settings) {
    this.host = host;
    this.state = state;
    this.replica = replica;
    this.table = table;
    this.limits = settings.state();
  }

  /** True if the job's record fits into one value. */
  public boolean fits(JobSpec spec) {
    return Codec.JSON.encode(Job.write(spec, host.wallMs())).length
        <= limits.valueBytes() - Constants.VALUE_SLACK_BYTES;
  }

  /** Accepts a checked job with one durable write; several that wait share one transaction. */
  public void accept(JobSpec spec, Consumer<Accepted> done) {
    if (table.get(spec.id()) != null || finals.getIfPresent(spec.id()) != null) {
      // A transaction would fail with all that share it, and count against the write limit too.
      done.accept(Accepted.KNOWN);
      return;
    }
    Pending known = queue.getOrDefault(spec.id(), underWay.get(spec.id()));
    if (known != null) {
      known.callers.add(done);
      return;
    }
    if (queue.size() >= Constants.ACCEPT_QUEUE || !state.answersSoon(1 + queue.size())) {
      done.accept(Accepted.UNAVAILABLE);
      return;
    }
    Fields value = Job.write(spec, host.wallMs());
    List<Consumer<Accepted>> callers = new ArrayList<>();
    callers.add(done);
    queue.put(
        spec.id(), new Pending(spec, value, Codec.JSON.encode(value).length + 200, callers));
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
      if (!batch.isEmpty() && (batch.size() >= limits.txnOps() || bytes > 48 * 1024)) {
        break;
      }
      batch.add(p);
      String id = p.spec.id();
      txn.when(Keys.job(id), 0).when(Keys.finalJob(id), 0).write(Keys.job(id), p.value);
    }
    for (Pending p : batch) {
      queue.remove(p.spec.id());
      underWay.put(p.spec.id(), p);
    }
    state.txn(
        StateClient.Lane.ANSWER,
        txn,
        result -> {
          accepting--;
          batch.forEach(p -> underWay.remove(p.spec.id()));
          if (result instanceof TxnResult.Applied applied) {
            replica.applied(txn, applied.revision());
            batch.forEach(p -> tell(p, Accepted.NEW));
          } else if (result instanceof TxnResult.Conflict conflict) {
            Set<String> failed = new HashSet<>(conflict.failed());
            for (Pending p : batch) {
              String id = p.spec.id();
              if (failed.contains(Keys.job(id)) || failed.contains(Keys.finalJob(id))) {
                tell(p, Accepted.KNOWN);
              } else if (failed.isEmpty()) {
                tell(p, Accepted.UNAVAILABLE);
              } else {
                queue.merge(
                    id,
                    p,
                    (a, b) -> {
                      a.callers.addAll(b.callers);
                      return a;
                    });
              }
            }
          } else {
            batch.forEach(p -> tell(p, Accepted.UNAVAILABLE));
          }
          acceptNext();
        });
  }

  private static void tell(Pending pending, Accepted outcome) {
    pending.callers.forEach(c -> c.accept(outcome));
  }

  /** Asks for a job's current state. */
  public void lookup(String id, Consumer<Lookup> done) {
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
      if (batch.size() >= limits.txnOps() * 4) {
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
          state.get(
              Keys.finalJob(id),
              last -> {
                if (last == null) {
                  done.accept(new Lookup.Unavailable());
                } else if (last.value() == null) {
                  done.accept(new Lookup.Unknown());
                } else {
                  try {
                    Lookup.Final f =
                        new Lookup.Final(
                            JobState.of(last.value().text("estado")),
                            (int) last.value().count("done", 0));
                    finals.put(id, f);
                    done.accept(f);
                  } catch (WireException e) {
                    done.accept(new Lookup.Unavailable());
                  }
                }
              });
        });
  }

  /** Withdraws a job unless it is done: gets what the job is from now on. */
  public void withdraw(String id, Consumer<Lookup> done) {
    withdraw(id, MAX_TRIES, done);
  }

  private void withdraw(String id, int tries, Consumer<Lookup> done) {
    lookup(
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
          Lookup.Final end =
              new Lookup.Final(JobState.WITHDRAWN, live.job().finished().cardinality());
          Txn txn = new Txn().when(Keys.job(id), live.job().revision());
          addFinal(txn, id, end);
          state.txn(
              StateClient.Lane.ANSWER,
              txn,
              result -> {
                if (result instanceof TxnResult.Applied applied) {
                  madeFinal(txn, applied.revision(), id, end);
                  done.accept(end);
                } else if (result instanceof TxnResult.Refused) {
                  done.accept(new Lookup.Unavailable());
                } else {
                  withdraw(id, tries - 1, done);
                }
              });
        });
  }

  /** Adds the two changes that make a job final; the caller adds the condition. */
  public static void addFinal(Txn txn, String id, Lookup.Final end) {
    txn.remove(Keys.job(id))
        .write(
            Keys.finalJob(id),
            Fields.create().with("estado", end.state().wire()).with("done", (long) end.done()));
  }

  /** Takes note of a transaction that made a job final. */
  public void madeFinal(Txn txn, long revision, String id, Lookup.Final end) {
    finals.put(id, end);
    replica.applied(txn, revision);
  }
}
