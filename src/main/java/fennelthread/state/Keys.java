package fennelthread.state;

/**
 * Where things stand in the state service. Everything that a controller follows by watch is under
 * one prefix; final answers are kept outside of it, so that a start reads only what still lives.
 */
public final class Keys {
  /** The prefix that every controller watches. */
  public static final String LIVE = "live/";

  /** Bound to the leader's grant: who leads. */
  public static final String LEAD = LIVE + "lead";

  /** Without a grant: the highest epoch ever claimed. */
  public static final String EPOCH = LIVE + "epoch";

  /** Without a grant: the epoch whose leader does without its peers' promises, 0 for none. */
  public static final String SOLO = LIVE + "solo";

  /** The machine types, kept for starts during an outage of the cloud. */
  public static final String MACHINE_TYPES = LIVE + "flavors";

  /** Prefix of accepted jobs that are neither done nor cancelled. */
  public static final String JOB = LIVE + "job/";

  /** Prefix of finished tasks, per job and chunk. */
  public static final String FINISHED = LIVE + "finished/";

  /** Prefix of round records. */
  public static final String ROUND = LIVE + "round/";

  /**
   * Prefix of the needs that found no room in a live job's own record, per job and part. It sorts
   * before {@link #JOB}: a copy that loads in order has the needs before the job.
   */
  public static final String DEPENDENCIES = LIVE + "chain/";

  /** Prefix of what followers say when workers of a leader come to them that they can't reach. */
  public static final String HEARD = LIVE + "heard/";

  /** Never written: whoever asks for it is told how many changes there were. */
  static final String NONE = "none";

  private static final String FINAL = "final/";

  private Keys() {}

  /**
   * True for records that a listener decodes and keeps: a copy need not hold their values a second
   * time, which thousands of round records once made the larger part of the heap.
   */
  static boolean isDecoded(String key) {
    return key.startsWith(JOB)
        || key.startsWith(FINISHED)
        || key.startsWith(ROUND)
        || key.startsWith(DEPENDENCIES);
  }

  /** The record of a live job. */
  public static String job(String id) {
    return JOB + id;
  }

  /** The record of a job that is done or cancelled. */
  public static String finalJob(String id) {
    return FINAL + id;
  }

  /** What one member says of a leader's workers. */
  public static String heard(String member) {
    return HEARD + member;
  }

  /** One part of a job's needs beyond those in its record. */
  public static String dependencies(String id, int part) {
    return DEPENDENCIES + id + "/" + part;
  }

  /** Prefix of a job's finished tasks. */
  public static String finishedOf(String id) {
    return FINISHED + id + "/";
  }

  /** One chunk of a job's finished tasks. */
  public static String finished(String id, int chunk) {
    return finishedOf(id) + chunk;
  }

  /** Prefix of the round records of one epoch. */
  public static String rounds(long epoch) {
    return ROUND + String.format("%010d", epoch);
  }

  /** One round record; {@code seq} counts within the epoch. */
  public static String round(long epoch, long seq) {
    return rounds(epoch) + String.format("-%08d", seq);
  }

  /**
   * The job that a key of several per job belongs to: {@link #FINISHED} or {@link #DEPENDENCIES}.
   */
  public static String jobOf(String prefix, String key) {
    return key.substring(prefix.length(), key.lastIndexOf('/'));
  }

  /** Which part of its job such a key is. */
  public static int partOf(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }
}
