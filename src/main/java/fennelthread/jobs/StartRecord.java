package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tasks that a scheduling round is about to start, written before any of these starts is sent to a
 * worker. A round may need several records. It also holds each job's team and resources: after a
 * failover the new leader must still count the resources that the tasks of a cancelled job take,
 * although the job's own record is gone by then.
 */
public record StartRecord(List<Start> starts) {
  /**
   * One attempt to start a task on a machine.
   *
   * @param task the task to start
   * @param attempt the attempt's number, unique among all attempts
   * @param machine the name of the machine
   * @param session the incarnation of the machine's worker
   * @param team the job's team
   * @param cpus CPUs that the task takes
   * @param cards accelerator cards that the task takes
   * @param memGb memory that the task takes, GB
   */
  public record Start(
      TaskRef task,
      long attempt,
      String machine,
      long session,
      String team,
      double cpus,
      double cards,
      double memGb) {

    /** Creates the start of a task, with team and resources from its job. */
    public static Start of(JobSpec spec, int index, long attempt, String machine, long session) {
      return new Start(
          new TaskRef(spec.id(), index),
          attempt,
          machine,
          session,
          spec.team(),
          spec.cpus(),
          spec.cards(),
          spec.memGb());
    }
  }

  /**
   * Encodes the record as the value that the state service stores: one list for each job, which
   * holds the header and then the starts.
   */
  public Fields encode() {
    Map<String, List<Object>> jobs = new LinkedHashMap<>();
    for (Start start : starts) {
      List<Object> job = jobs.computeIfAbsent(start.task.job(), id -> encodeJobHeader(start));
      job.add((long) start.task.index());
      job.add(start.attempt);
      job.add(start.machine);
      job.add(start.session);
    }
    return Fields.create().with("j", new ArrayList<Object>(jobs.values()));
  }

  private static List<Object> encodeJobHeader(Start start) {
    List<Object> header = new ArrayList<>();
    header.add(start.task.job());
    header.add(start.team);
    header.add(start.cpus);
    header.add(start.cards);
    header.add(start.memGb);
    return header;
  }

  /**
   * Decodes a stored value.
   *
   * @throws WireException if it is malformed
   */
  public static StartRecord decode(Fields value) throws WireException {
    List<Start> starts = new ArrayList<>();
    for (Object job : value.list("j")) {
      if (!(job instanceof List<?> values)
          || values.size() < JobConstants.START_RECORD_HEAD_VALUES) {
        throw malformed();
      }
      decodeJob(values, starts);
    }
    return new StartRecord(starts);
  }

  private static WireException malformed() {
    return new WireException("j", "is not a list of starts");
  }

  private static void decodeJob(List<?> job, List<Start> starts) throws WireException {
    String id = text(job.get(0));
    String team = text(job.get(1));
    double cpus = number(job.get(2)).doubleValue();
    double cards = number(job.get(3)).doubleValue();
    double memGb = number(job.get(4)).doubleValue();
    for (int i = JobConstants.START_RECORD_HEAD_VALUES;
        i + JobConstants.VALUES_PER_START <= job.size();
        i += JobConstants.VALUES_PER_START) {
      TaskRef task = new TaskRef(id, (int) integer(job.get(i)));
      long attempt = integer(job.get(i + 1));
      String machine = text(job.get(i + 2));
      long session = integer(job.get(i + 3));
      starts.add(new Start(task, attempt, machine, session, team, cpus, cards, memGb));
    }
  }

  private static String text(Object value) throws WireException {
    if (value instanceof String text) {
      return text;
    }
    throw malformed();
  }

  private static Number number(Object value) throws WireException {
    if (value instanceof Number number) {
      return number;
    }
    throw malformed();
  }

  private static long integer(Object value) throws WireException {
    if (value instanceof Long integer) {
      return integer;
    }
    throw malformed();
  }
}
