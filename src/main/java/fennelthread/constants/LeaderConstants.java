package fennelthread.constants;

/** The leader: its lease, scheduling rounds, preemption, completions and clean-up. */
public final class LeaderConstants {
  /**
   * Length of the lease at the state service as a share of a worker's lease: after a crash a
   * successor must answer the workers before their leases expire.
   */
  public static final double STORE_LEASE_SHARE_OF_WORKER_LEASE = 0.4;

  /**
   * Shortest lease at the state service, ms: renewals must also succeed while the service is slow.
   */
  public static final long MIN_STORE_LEASE_MS = 2_000;

  /** Longest lease at the state service, ms: bounds how long a crashed leader blocks claims. */
  public static final long MAX_STORE_LEASE_MS = 10_000;

  /**
   * Shortest pause before a renewal, ms: a renewal that took long is not followed by another at
   * once.
   */
  public static final long MIN_RENEWAL_PAUSE_MS = 20;

  /** Renewals that fit into one lease at the state service: three may fail before it is lost. */
  public static final int RENEWALS_PER_STORE_LEASE = 4;

  /** Stands for the epoch of a record that can't be read: no other epoch is higher. */
  public static final long UNKNOWN_EPOCH = Long.MAX_VALUE;

  /** Typical bytes of a start in a start record; limits the number of starts in a round. */
  public static final int RECORD_BYTES_PER_START = 40;

  /** Most starts in one round: keeps a round short on a slow processor. */
  public static final int MAX_STARTS_PER_ROUND = 60;

  /** Longest time between two rounds of a leader, ms: covers changes that no event announces. */
  public static final long MAX_ROUND_INTERVAL_MS = 1_000;

  /** Interval at which a term checks leases, spot notices and due work, ms. */
  public static final long TERM_TICK_MS = 250;

  /**
   * A process whose predecessor ended within this time of its claim lets other members claim first,
   * ms.
   */
  public static final long CRASH_LOOP_WINDOW_MS = 15_000;

  /** Time for which it waits for them, ms: others claim within 60 ms and one call. */
  public static final long CRASH_LOOP_PAUSE_MS = 400;

  /** Longest random wait before a claim, ms: keeps followers from claiming at the same instant. */
  public static final long CLAIM_JITTER_MS = 60;

  /** Interval at which the leader decides about scaling out and in, ms. */
  public static final long PROVISIONING_INTERVAL_MS = 700;

  /** Time for which failures on a machine, and those of a job, are remembered, ms. */
  public static final long FAILURE_WINDOW_MS = 120_000;

  /**
   * Number of machines on which a job must fail before the job, rather than a machine, counts as
   * faulty.
   */
  public static final int FAULTY_JOB_MACHINES = 3;

  /** First backoff before a task that failed or was refused is retried, ms. */
  public static final long MIN_TASK_BACKOFF_MS = 300;

  /**
   * Longest such backoff, ms; with jitter it stays below a minute, since no job may wait for 90 s.
   */
  public static final long MAX_TASK_BACKOFF_MS = 45_000;

  /**
   * Most tasks on one machine, including ended ones that are not cleared: a report takes up to 100
   * bytes for each, and reports beyond 64 KiB are refused until the worker's lease expires and all
   * of its tasks end.
   */
  public static final int MAX_TASKS_PER_MACHINE = 600;

  /**
   * Longest time for which a job is passed over although a machine has free capacity for it, ms:
   * users expect a start within 90 s, of which the start itself takes a few.
   */
  public static final long MAX_PASSED_OVER_MS = 60_000;

  /**
   * Age from which a job's remaining work is discounted in the smallest-first order, ms. If it were
   * less, backlogs of half a minute would be served oldest first, and one build in a hundred more
   * would be late.
   */
  public static final long WORK_DECAY_DELAY_MS = 60_000;

  /** Half-life of a job's remaining work in that order from that age on, ms. */
  public static final double WORK_HALF_LIFE_MS = 60_000;

  /** Time that a task waits for capacity to become free by itself before it may preempt, s. */
  public static final double PREEMPTION_DELAY_S = 5;

  /**
   * The same for job classes with a service-level objective on the time to start, s: about as long
   * as a preemption takes.
   */
  public static final double OBJECTIVE_PREEMPTION_DELAY_S = 0.5;

  /**
   * A job whose age exceeds its last completion target by this factor no longer yields to others.
   */
  public static final double MAX_LATENESS_FACTOR = 3;

  /**
   * Share of its slack after which a job may preempt with the priority inherited from its
   * dependents; the slack is the time that it could wait, when released, and still be done in time
   * for them. Before that it is only placed first where capacity is free: a pipeline is expected to
   * wait for part of its time, while preempted work is lost.
   */
  public static final double INHERITED_PRIORITY_SLACK_SHARE = 0.5;

  /** Time that a done job waits for others to share its write, ms; its user polls 3 s later. */
  public static final long DONE_JOB_FLUSH_DELAY_MS = 80;

  /**
   * Shortest time between two writes of jobs' finished tasks, ms: each chunk of tasks costs a
   * write.
   */
  public static final long FINISHED_TASKS_FLUSH_INTERVAL_MS = 1_000;

  /** Interval at which the leader removes obsolete records, ms. */
  public static final long COLLECTION_INTERVAL_MS = 2_500;

  /** Most keys of obsolete start records that are kept for reuse. */
  public static final int MAX_FREE_RECORD_KEYS = 48;

  /**
   * A start record is sparse, and may be compacted, if its live starts are at most its capacity
   * divided by this.
   */
  public static final int SPARSE_RECORD_DIVISOR = 4;

  /**
   * Start records are compacted if there are more than this many times as many as the live starts
   * need, or if they hold more than this many times as many starts as are live, each with a slack.
   */
  public static final int MAX_RECORDS_PER_NEEDED = 4;

  /** Slack in that comparison of records: so few are not worth the writes of a compaction. */
  public static final int RECORD_COUNT_SLACK = 128;

  /**
   * Slack in that comparison of starts: so few, some hundred kilobytes of heap, are not worth the
   * writes of a compaction.
   */
  public static final int START_COUNT_SLACK = 4_000;

  /** Factor by which the weight of earlier run times decreases with each further finished task. */
  public static final double RUN_TIME_DECAY = 0.95;

  /**
   * Weight of the prior that a job class starts with, in tasks that ran as long as estimated: its
   * first tasks are a small sample.
   */
  public static final double RUN_TIME_PRIOR_WEIGHT = 3;

  /**
   * Most that the run time of one task counts, as a multiple of its estimate: one stuck task is an
   * outlier.
   */
  public static final double MAX_RUN_TIME_RATIO = 5;

  /** Entries that a job's maps by task have room for at first: a job that waits has none. */
  public static final int INITIAL_TASK_ENTRIES = 1;

  private LeaderConstants() {}
}
