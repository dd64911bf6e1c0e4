package fennelthread.constants;

/**
 * Constants of the leader: its lease, scheduling rounds, completions and clean-up; each with its
 * unit and its reason.
 */
public final class LeaderConstants {
  /**
   * The grant's length as a share of a worker's lease: a successor must answer before that ends.
   */
  public static final double GRANT_SHARE_OF_LEASE = 0.4;

  /** How many renewals fit into one grant: three may fail before the lease is lost. */
  public static final int RENEWALS_PER_GRANT = 4;

  /** Bytes that a start takes in a round record as a rule: how many are worth planning at once. */
  public static final int RECORD_BYTES_PER_START = 40;

  /** Most starts in one round: keeps a round's work short on a slow processor. */
  public static final int STARTS_PER_ROUND = 60;

  /** Longest time between two rounds of a leader, ms: catches what no event announced. */
  public static final long ROUND_IDLE_MS = 1_000;

  /** How often a term looks at leases, notices and what is due, ms. */
  public static final long TERM_TICK_MS = 250;

  /**
   * A process whose predecessor ended so soon after its claim leaves the next one to others, ms.
   */
  public static final long FLAPPING_MS = 15_000;

  /** For how long, ms: peers that are there claim within 60 ms and a call. */
  public static final long FLAPPING_PAUSE_MS = 400;

  /** Longest random wait before a claim, ms: followers rarely claim at the same instant. */
  public static final long CLAIM_SPREAD_MS = 60;

  /** How often the leader decides about renting and returning, ms. */
  public static final long RENT_EVERY_MS = 700;

  /** How long failures on a machine, and those of a job, are remembered, ms. */
  public static final long FAILURE_WINDOW_MS = 120_000;

  /** On how many machines a job must fail before it waits longer between tries. */
  public static final int BAD_JOB_MACHINES = 3;

  /** First pause before a task that failed or was refused is tried again, ms. */
  public static final long TASK_PAUSE_MS = 300;

  /** Longest such pause, ms; with jitter below a minute, since no job may wait for 90 s. */
  public static final long TASK_PAUSE_MOST_MS = 45_000;

  /**
   * Most tasks on one machine, ended ones that are not cleared included: a report takes up to 100
   * bytes for each, and one beyond 64 KiB is refused, until all of them end with their lease.
   */
  public static final int TASKS_PER_REPORT = 600;

  /**
   * A job that stands back for others although a machine has room for it does so for so long at
   * most, ms: users count on 90 s, of which the start takes a few.
   */
  public static final long PASSED_OVER_MS = 60_000;

  /**
   * From this age on a job's work counts for less when small goes before large, ms. Sooner,
   * backlogs of half a minute would be worked off from their old end, and one build in a hundred
   * more is late.
   */
  public static final long WORK_AGES_AFTER_MS = 60_000;

  /** For each such while beyond that it counts half, ms. */
  public static final double WORK_HALVED_MS = 60_000;

  /**
   * How long a task waits for room that comes free by itself before others are stopped for it, s.
   */
  public static final double PATIENCE_S = 5;

  /** The same of classes for which a time to the start is set, s: about what stopping takes. */
  public static final double PATIENCE_SHORT_S = 0.5;

  /** A job late by this many times the last time set for it no longer stands back for others. */
  public static final double LATE_PATIENCE = 3;

  /**
   * Part of the time that a job could wait when it was released and still be done for those that
   * need it, after which it stops other work in their name. Before that it only comes first where
   * there is room: a pipeline's time is meant to be waited with, stopped work is lost.
   */
  public static final double LENT_PATIENCE = 0.5;

  /** How long a done job waits for others to share its write, ms: its user polls 3 s later. */
  public static final long FLUSH_DONE_MS = 80;

  /** Shortest time between two writes of finished parts of jobs, ms: each part costs a write. */
  public static final long FLUSH_PARTS_MS = 1_000;

  /** How often the leader removes records that nobody needs any more, ms. */
  public static final long SWEEP_MS = 2_500;

  /** Own records that nobody needs any more and that are kept to be written over, keys. */
  public static final int SPARE_RECORDS = 48;

  /**
   * A record of which at most this part of a full one lives, 1 in so many, may be drawn together.
   */
  public static final int SPARSE_RECORD_PARTS = 4;

  /** Round records, or starts in them, beyond so many times what lives are drawn together. */
  public static final int RECORDS_PER_NEEDED = 4;

  /** Round records that are too few to bother with, keys. */
  public static final int RECORDS_SLACK = 128;

  /** Starts in round records that are too few to bother with: some hundred kilobytes of heap. */
  public static final int STARTS_SLACK = 4_000;

  /** What one more finished task leaves of the weight of those before, as a share. */
  public static final double RUN_TIME_FADE = 0.95;

  /** How many tasks as long as estimated a class begins with: its first ones tell little. */
  public static final double RUN_TIME_PRIOR = 3;

  /** Most that one task may say, as a multiple of its estimate: one stuck task is no rule. */
  public static final double RUN_TIME_MOST = 5;

  private LeaderConstants() {}
}
