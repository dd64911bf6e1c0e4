package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/** A worker's report: everything on its machine at the moment (turno, folio). */
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

  /** The value of {@link #noticeS} for a machine that has no notice. */
  public static final double NO_NOTICE = -1;

  /** What a task on a machine is doing. */
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
      for (Phase p : values()) {
        if (p.wireName.equals(text)) {
          return p;
        }
      }
      throw new WireException("estado", "is not a known task state");
    }

    /** The name used in messages. */
    public String wireName() {
      return wireName;
    }
  }

  /** Why a task ended; OTHER stands for reasons that this version does not know. */
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
      for (EndReason m : values()) {
        if (m.wireName.equals(text)) {
          return m;
        }
      }
      return OTHER;
    }

    /** The name used in messages. */
    public String wireName() {
      return wireName;
    }
  }

  /** One task of a report; {@code motive} is null unless it has ended. */
  public record Task(
      TaskRef ref, long attempt, Phase phase, EndReason endReason, boolean progressSaved) {}

  /** Reads a report. */
  public static WorkerReport read(Fields body) throws WireException {
    List<Task> tasks = new ArrayList<>();
    for (Fields f : body.maps("tareas")) {
      Phase phase = Phase.of(f.text("estado"));
      String motive = f.optText("motivo");
      tasks.add(
          new Task(
              TaskRef.parse(f.text("tarea")),
              f.count("intento"),
              phase,
              phase == Phase.ENDED ? EndReason.of(motive == null ? "" : motive) : null,
              f.optFlag("kept")));
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

  /** The report in the protocol's form. */
  public Fields write() {
    List<Object> list = new ArrayList<>();
    for (Task t : tasks) {
      Fields f =
          Fields.create()
              .with("tarea", t.ref.toString())
              .with("intento", t.attempt)
              .with("estado", t.phase.wireName);
      if (t.endReason != null) {
        f.with("motivo", t.endReason.wireName);
      }
      if (t.progressSaved) {
        f.with("kept", true);
      }
      list.add(f.map());
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
