package fennelthread.jobs;

import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one round is about to start, written before any start is sent. It names the team and the
 * resources too: a successor must count a cancelled job's tasks, whose record is gone by then.
 */
public record StartRecord(List<Start> starts) {

  /** One start: the attempt, where, and what it takes there. */
  public record Start(
      TaskRef task,
      long attempt,
      String machine,
      long session,
      String team,
      double cpus,
      double cards,
      double memGb) {

    /** The start of a task of a known job. */
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

  /** The record in the state service's form: jobs once, then their starts. */
  public Fields write() {
    Map<String, List<Object>> jobs = new LinkedHashMap<>();
    for (Start s : starts) {
      List<Object> job =
          jobs.computeIfAbsent(
              s.task.job(),
              id -> {
                List<Object> head = new ArrayList<>();
                head.add(id);
                head.add(s.team);
                head.add(s.cpus);
                head.add(s.cards);
                head.add(s.memGb);
                return head;
              });
      job.add((long) s.task.index());
      job.add(s.attempt);
      job.add(s.machine);
      job.add(s.session);
    }
    return Fields.create().with("j", new ArrayList<Object>(jobs.values()));
  }

  /** Reads a record. */
  public static StartRecord read(Fields value) throws WireException {
    List<Start> starts = new ArrayList<>();
    try {
      for (Object item : value.list("j")) {
        List<?> job = (List<?>) item;
        String id = (String) job.get(0);
        String team = (String) job.get(1);
        double cpus = ((Number) job.get(2)).doubleValue();
        double cards = ((Number) job.get(3)).doubleValue();
        double mem = ((Number) job.get(4)).doubleValue();
        for (int i = 5; i + 3 < job.size(); i += 4) {
          starts.add(
              new Start(
                  new TaskRef(id, ((Long) job.get(i)).intValue()),
                  (Long) job.get(i + 1),
                  (String) job.get(i + 2),
                  (Long) job.get(i + 3),
                  team,
                  cpus,
                  cards,
                  mem));
        }
      }
    } catch (ClassCastException | IndexOutOfBoundsException e) {
      throw new WireException("j", "is not a list of starts");
    }
    return new StartRecord(starts);
  }
}
