package fennelthread.constants;

/**
 * Constants of the leader: its lease, scheduling rounds, completions and clean-up; each with its
 * unit and its reason.
 */
public final class LeaderConstants {
  /**
   * Length of the lease at the state service as a share of a worker's lease: a successor must
   * answer workers before theirs expires.
   */
  public static final double STORE_LEASE_SHARE_OF_WORKER_LEASE = 0.4;

  /** Shortest lease at the state service, ms: renewals must get through on a slow day. */
  public static final long MIN_STORE_LEASE_MS = 2_000;

  /** Longest lease at the state service, ms: bounds how long a crashed leader blocks claims. */
  public static final long MAX_STORE_LEASE_MS = 10_000;

  /** Shortest pause before a renewal, ms: one that took long is not followed at once. */
  public static final long MIN_RENEWAL_PAUSE_MS = 20;

  /** Renewals that fit into one lease at the state service: three may fail before it is lost. */
  public static final int RENEWALS_PER_STORE_LEASE = 4;

  /** Stands for an epoch that an unreadable record may name: no other is above it. */
  public static final long UNKNOWN_EPOCH = Long.MAX_VALUE;

  /** Bytes that a start takes in a start record as a rule: sizes a round. */
  public static final int RECORD_BYTES_PER_START = 40;

  /** Most starts in one round: keeps a round short on a slow processor. */
  public static final int MAX_STARTS_PER_ROUND = 60;

  /** Longest time between two rounds of a leader, ms: covers changes that no event announces. */
  public static final long MAX_ROUND_INTERVAL_MS = 1_000;

  /** How often a term checks leases, spot notices and what is due, ms. */
  public static final long TERM_TICK_MS = 250;

  /**
   * A process whose predecessor ended so soon after its claim lets other members claim first, ms.
   */
  public static final long CRASH_LOOP_WINDOW_MS = 15_000;

  /** How long it lets them, ms: other members claim within 60 ms and a call. */
  public static final long CRASH_LOOP_PAUSE_MS = 400;

  /** Longest random wait before a claim, ms: followers rarely claim at the same instant. */
  public static final long CLAIM_JITTER_MS = 60;

  /** How often the leader decides about scaling out and in, ms. */
  public static final long PROVISIONING_INTERVAL_MS = 700;

  /** How long failures on a machine, and those of a job, are remembered, ms. */
  public static final long FAILURE_WINDOW_MS = 120_000;

  /**
   * Number of machines on which a job must fail before the job, not a machine, counts as faulty.
   */
  public static final int FAULTY_JOB_MACHINES = 3;

  /** First backoff before a task that failed or was refused is retried, ms. */
  public static final long MIN_TASK_BACKOFF_MS = 300;

  /** Longest such backoff, ms; with jitter below a minute, since no job may wait for 90 s. */
  public static final long MAX_TASK_BACKOFF_MS = 45_000;

  /**
   * Most tasks on one machine, including ended ones that are not cleared: a report takes up to 100
   * bytes for each, and one beyond 64 KiB is refused until all of them end with their lease.
   */
  public static final int MAX_TASKS_PER_MACHINE = 600;

  /**
   * Longest time for which a job is passed over although a machine has free capacity for it, ms:
   * users count on 90 s, of which the start takes a few.
   */
  public static final long MAX_PASSED_OVER_MS = 60_000;

  /**
   * Age from which a job's remaining work is discounted in the smallest-first order, ms. With an
   * earlier one, backlogs of half a minute would be worked off from their old end, and one build in
   * a hundred more is late.
   */
  public static final long WORK_DECAY_DELAY_MS = 60_000;

  /** Half-life of a job's remaining work in that order from that age on, ms. */
  public static final double WORK_HALF_LIFE_MS = 60_000;

  /** How long a task waits for capacity that becomes free by itself before it may preempt, s. */
  public static final double PREEMPTION_DELAY_S = 5;

  /**
   * The same for job classes with a service-level objective on the time to start, s: about what a
   * preemption takes.
   */
  public static final double OBJECTIVE_PREEMPTION_DELAY_S = 0.5;

  /** A job whose age exceeds the last time set for it by this factor no longer yields to others. */
  public static final double MAX_LATENESS_FACTOR = 3;

  /**
   * Share of the time that a job could wait when it was released, and still be done in time for its
   * dependents, after which it may preempt with the priority inherited from them. Before that it is
   * only placed first where capacity is free: a pipeline's time is meant to be spent waiting, while
   * preempted work is lost.
   */
  public static final double INHERITED_PRIORITY_SLACK_SHARE = 0.5;

  /** How long a done job waits for others to share its write, ms: its user polls 3 s later. */
  public static final long DONE_JOB_FLUSH_DELAY_MS = 80;

  /** Shortest time between two writes of finished parts of jobs, ms: each part costs a write. */
  public static final long FINISHED_TASKS_FLUSH_INTERVAL_MS = 1_000;

  /** How often the leader removes obsolete records, ms. */
  public static final long COLLECTION_INTERVAL_MS = 2_500;

  /** Most keys of obsolete start records that are kept for reuse. */
  public static final int MAX_FREE_RECORD_KEYS = 48;

  /**
   * A start record is sparse, and may be compacted, if its live starts are at most its capacity
   * divided by this.
   */
  public static final int SPARSE_RECORD_DIVISOR = 4;

  /** Start records, or starts in them, beyond so many times what is live are compacted. */
  public static final int MAX_RECORDS_PER_NEEDED = 4;

  /** Number of start records below which compaction is not worth its writes. */
  public static final int RECORD_COUNT_SLACK = 128;

  /**
   * Number of starts in records below which compaction is not worth its writes: some hundred
   * kilobytes of heap.
   */
  public static final int START_COUNT_SLACK = 4_000;

  /** Weight that earlier run times keep with each further finished task, as a share. */
  public static final double RUN_TIME_DECAY = 0.95;

  /**
   * Number of tasks as long as estimated that a job class begins with: its first ones are a small
   * sample.
   */
  public static final double RUN_TIME_PRIOR_WEIGHT = 3;

  /** Most that one task counts, as a multiple of its estimate: one stuck task is an outlier. */
  public static final double MAX_RUN_TIME_RATIO = 5;

  private LeaderConstants() {}
}
