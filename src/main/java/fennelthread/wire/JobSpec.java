package fennelthread.wire;

import java.util.List;
import java.util.regex.Pattern;

/** A job as its user submits it. Durations are in seconds, memory and images in GB. */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    boolean service,
    Priority priority,
    int tasks,
    double cpus,
    double cards,
    double memGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean onePlace,
    boolean apart,
    boolean spotAllowed,
    double estimateS,
    double checkpointS,
    double saveS,
    double deadlineS) {

  /** The value of {@link #deadlineS} for a job that has none. */
  public static final double NO_DEADLINE = -1;

  /** The protocol's bound on the tasks of one job. */
  public static final int MAX_TASKS = 100_000;

  private static final Pattern ID = Pattern.compile("job-[0-9]{1,32}");

  /** True if {@code id} has the form of a job id. */
  public static boolean isId(String id) {
    return ID.matcher(id).matches();
  }

  /** Reads only the id: a known job is answered whatever else its repeated submission holds. */
  public static String readId(Fields body) throws WireException {
    String id = body.text("name_id");
    if (!isId(id)) {
      throw new WireException("name_id", "is not of the form job-000412");
    }
    return id;
  }

  /** Reads and checks a whole submission. */
  public static JobSpec read(Fields body) throws WireException {
    String id = readId(body);
    String kind = body.text("tipo");
    if (!kind.equals("sweep") && !kind.equals("standing")) {
      throw new WireException("tipo", "must be sweep or standing");
    }
    long tasks = body.count("tareas");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new WireException("tareas", "must be from 1 to " + MAX_TASKS);
    }
    List<String> types = body.optTexts("modelos");
    if (types != null && types.isEmpty()) {
      throw new WireException("modelos", "must not be empty");
    }
    return new JobSpec(
        id,
        nonEmpty(body, "clase"),
        nonEmpty(body, "dueno"),
        kind.equals("standing"),
        Priority.of("prioridad", body.text("prioridad")),
        (int) tasks,
        body.amount("cpus"),
        body.amount("cards"),
        body.amount("mem_gb"),
        nonEmpty(body, "imagen"),
        body.amount("pull_gb"),
        types,
        body.optText("zona"),
        body.flag("same_place"),
        body.flag("apart"),
        body.flag("prestadas"),
        body.amount("estimado_s"),
        body.amount("resguardo_s"),
        body.amount("guardado_s"),
        body.amount("plazo_s", NO_DEADLINE));
  }

  /** The submission in the protocol's form. */
  public Fields write() {
    return Fields.create()
        .with("name_id", id)
        .with("clase", jobClass)
        .with("dueno", team)
        .with("tipo", service ? "standing" : "sweep")
        .with("prioridad", priority.wire())
        .with("tareas", (long) tasks)
        .with("cpus", cpus)
        .with("cards", cards)
        .with("mem_gb", memGb)
        .with("imagen", image)
        .with("pull_gb", imageGb)
        .with("modelos", types)
        .with("zona", zone)
        .with("same_place", onePlace)
        .with("apart", apart)
        .with("prestadas", spotAllowed)
        .with("estimado_s", estimateS)
        .with("resguardo_s", checkpointS)
        .with("guardado_s", saveS)
        .with("plazo_s", deadlineS == NO_DEADLINE ? null : (Object) deadlineS);
  }

  private static String nonEmpty(Fields body, String name) throws WireException {
    String text = body.text(name);
    if (text.isEmpty()) {
      throw new WireException(name, "must not be empty");
    }
    return text;
  }
}
