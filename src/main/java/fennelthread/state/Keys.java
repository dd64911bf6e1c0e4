package fennelthread.state;

import fennelthread.wire.WireException;

/**
 * The layout of the keys in the state service. All keys that controllers watch are under one
 * prefix. Final records are outside of it, so that a controller that starts loads only live jobs.
 */
public final class Keys {
  /** Prefix of all keys that every controller watches. */
  public static final String LIVE_PREFIX = "live/";

  /** The leader's record, bound to its lease. */
  public static final String LEADER = LIVE_PREFIX + "lead";

  /** The highest epoch ever claimed; bound to no lease. */
  public static final String EPOCH = LIVE_PREFIX + "epoch";

  /**
   * The declaration of unilateral leadership: the epoch whose leader needs no promises of its
   * peers, 0 for none. Bound to no lease.
   */
  public static final String UNILATERAL_LEADERSHIP = LIVE_PREFIX + "solo";

  /** The machine types, for controllers that start during an outage of the cloud provider. */
  public static final String MACHINE_TYPES = LIVE_PREFIX + "flavors";

  /** Prefix of the records of live jobs, which are accepted and neither done nor cancelled. */
  public static final String JOB_PREFIX = LIVE_PREFIX + "job/";

  /** Prefix of the finished tasks of live jobs, by job and chunk. */
  public static final String FINISHED_TASKS_PREFIX = LIVE_PREFIX + "finished/";

  /** Prefix of the start records of scheduling rounds. */
  public static final String START_RECORD_PREFIX = LIVE_PREFIX + "round/";

  /**
   * Prefix of the dependencies that did not fit into a live job's own record, by job and part. It
   * sorts before {@link #JOB_PREFIX}: a replica that loads in order has the dependencies before the
   * job.
   */
  public static final String DEPENDENCIES_PREFIX = LIVE_PREFIX + "chain/";

  /**
   * Prefix of the notices that followers write when they can't reach the leader but receive reports
   * from workers that the leader commands.
   */
  public static final String UNREACHABLE_LEADER_PREFIX = LIVE_PREFIX + "heard/";

  /** A key that is never written: a read of it returns the revision that the store has reached. */
  static final String NEVER_WRITTEN = "none";

  private static final String FINAL_PREFIX = "final/";

  private Keys() {}

  /**
   * True for records that a listener decodes and keeps. The replica holds no values for them, since
   * thousands of start records held twice can take most of the heap.
   */
  static boolean isDecodedByListener(String key) {
    return key.startsWith(JOB_PREFIX)
        || key.startsWith(FINISHED_TASKS_PREFIX)
        || key.startsWith(START_RECORD_PREFIX)
        || key.startsWith(DEPENDENCIES_PREFIX);
  }

  /** The record of a live job. */
  public static String job(String jobId) {
    return JOB_PREFIX + jobId;
  }

  /** The record of a job that is done or cancelled. */
  public static String finalJob(String jobId) {
    return FINAL_PREFIX + jobId;
  }

  /**
   * The notice of a follower that it can't reach the leader but receives reports from the leader's
   * workers.
   */
  public static String unreachableLeader(String member) {
    return UNREACHABLE_LEADER_PREFIX + member;
  }

  /** One part of a job's dependencies that don't fit into the job's own record. */
  public static String dependencies(String jobId, int part) {
    return DEPENDENCIES_PREFIX + jobId + "/" + part;
  }

  /** Prefix of one job's finished tasks. */
  public static String finishedTasksPrefix(String jobId) {
    return FINISHED_TASKS_PREFIX + jobId + "/";
  }

  /** One chunk of a job's finished tasks. */
  public static String finishedTasks(String jobId, int chunk) {
    return finishedTasksPrefix(jobId) + chunk;
  }

  /** Prefix of the start records of one epoch. */
  public static String startRecordPrefix(long epoch) {
    return START_RECORD_PREFIX + String.format("%010d", epoch);
  }

  /** One start record; {@code sequence} counts within the epoch. */
  public static String startRecord(long epoch, long sequence) {
    return startRecordPrefix(epoch) + String.format("-%08d", sequence);
  }

  /**
   * The id of the job that a key under {@link #FINISHED_TASKS_PREFIX} or {@link
   * #DEPENDENCIES_PREFIX} belongs to.
   *
   * @param prefix the one of the two that the key begins with
   */
  public static String jobIdOf(String prefix, String key) {
    return key.substring(prefix.length(), key.lastIndexOf('/'));
  }

  /**
   * The number of the chunk or part that a key under {@link #FINISHED_TASKS_PREFIX} or {@link
   * #DEPENDENCIES_PREFIX} holds.
   *
   * @throws WireException if the key does not end with a number
   */
  public static int partNumberOf(String key) throws WireException {
    int numberAt = key.lastIndexOf('/') + 1;
    try {
      return Integer.parseUnsignedInt(key, numberAt, key.length(), 10);
    } catch (NumberFormatException e) {
      throw new WireException("key", "does not end with a number");
    }
  }
}
