package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/**
 * A worker's report with all tasks on its machine.
 *
 * @param session the number of the worker's session, which increases when it restarts or its lease
 *     expires ({@code turno})
 * @param seq the number of the report within the session ({@code folio})
 * @param token the highest fencing token that the worker has accepted ({@code ficha})
 * @param noticeS time until the cloud reclaims the spot machine, seconds, or {@link #NO_NOTICE}
 */
public record WorkerReport(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long session,
    long seq,
    long token,
    double noticeS,
    List<Task> tasks) {

  /** The value of {@link #noticeS} for a machine without an interruption notice. */
  public static final double NO_NOTICE = -1;

  /** The phase of a task on a machine. */
  public enum Phase {
    FETCHING("fetching"),
    RUNNING("running"),
    FLUSHING("flushing"),
    ENDED("ended");

    private final String wireName;

    Phase(String wireName) {
      this.wireName = wireName;
    }

    static Phase of(String text) throws WireException {
      for (Phase phase : values()) {
        if (phase.wireName.equals(text)) {
          return phase;
        }
      }
      throw new WireException("estado", "is not a known task state");
    }

    /** Returns the name used in messages. */
    public String wireName() {
      return wireName;
    }
  }

  /** Why a task ended; {@link #OTHER} stands for reasons unknown to this version. */
  public enum EndReason {
    DONE("done"),
    HALTED("halted"),
    ERROR("error"),
    FULL("full"),
    BUSY("busy"),
    NO_SUCH("no_such"),
    OTHER("");

    private final String wireName;

    EndReason(String wireName) {
      this.wireName = wireName;
    }

    static EndReason of(String text) {
      for (EndReason reason : values()) {
        if (reason.wireName.equals(text)) {
          return reason;
        }
      }
      return OTHER;
    }

    /** Returns the name used in messages. */
    public String wireName() {
      return wireName;
    }
  }

  /**
   * A task in a report.
   *
   * @param endReason why it ended; null while it has not
   * @param progressSaved true if it saved its progress when it was stopped
   */
  public record Task(
      TaskRef ref, long attempt, Phase phase, EndReason endReason, boolean progressSaved) {}

  /** Reads and validates a report. */
  public static WorkerReport read(Fields body) throws WireException {
    List<Task> tasks = new ArrayList<>();
    for (Fields task : body.maps("tareas")) {
      Phase phase = Phase.of(task.text("estado"));
      String endReason = task.optText("motivo");
      tasks.add(
          new Task(
              TaskRef.parse(task.text("tarea")),
              task.count("intento"),
              phase,
              phase == Phase.ENDED ? EndReason.of(endReason == null ? "" : endReason) : null,
              task.optFlag("kept")));
    }
    return new WorkerReport(
        body.text("equipo"),
        body.text("address"),
        body.text("modelo"),
        body.text("zona"),
        body.optFlag("prestadas"),
        body.count("turno"),
        body.count("folio"),
        body.count("ficha"),
        body.amount("aviso_s", NO_NOTICE),
        tasks);
  }

  /** Writes the report; fields without a value are left out or null. */
  public Fields write() {
    List<Object> list = new ArrayList<>();
    for (Task task : tasks) {
      Fields fields =
          Fields.create()
              .with("tarea", task.ref.toString())
              .with("intento", task.attempt)
              .with("estado", task.phase.wireName);
      if (task.endReason != null) {
        fields.with("motivo", task.endReason.wireName);
      }
      if (task.progressSaved) {
        fields.with("kept", true);
      }
      list.add(fields.map());
    }
    return Fields.create()
        .with("equipo", machine)
        .with("address", address)
        .with("modelo", type)
        .with("zona", zone)
        .with("prestadas", spot)
        .with("turno", session)
        .with("folio", seq)
        .with("ficha", token)
        .with("aviso_s", noticeS == NO_NOTICE ? null : (Object) noticeS)
        .with("tareas", list);
  }
}
