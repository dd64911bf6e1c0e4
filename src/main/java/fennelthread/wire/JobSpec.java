package fennelthread.wire;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A job as its user submits it. Durations are in seconds, memory and images in GB; {@code needs}
 * names the jobs that must be done before any task of this one starts.
 */
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
    double deadlineS,
    List<String> dependencies) {

  /** The value of {@link #deadlineS} for a job that has none. */
  public static final double NO_DEADLINE = -1;

  /** The protocol's bound on the tasks of one job. */
  public static final int MAX_TASKS = 100_000;

  /** The field that names the jobs which must be done first. */
  public static final String DEPENDENCIES = "espera";

  private static final Pattern ID = Pattern.compile("job-[0-9]{1,32}");

  /** A job that needs no other. */
  public JobSpec(
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
    this(
        id,
        jobClass,
        team,
        service,
        priority,
        tasks,
        cpus,
        cards,
        memGb,
        image,
        imageGb,
        types,
        zone,
        onePlace,
        apart,
        spotAllowed,
        estimateS,
        checkpointS,
        saveS,
        deadlineS,
        List.of());
  }

  /** The same job with other needs. */
  public JobSpec withDependencies(List<String> others) {
    return new JobSpec(
        id,
        jobClass,
        team,
        service,
        priority,
        tasks,
        cpus,
        cards,
        memGb,
        image,
        imageGb,
        types,
        zone,
        onePlace,
        apart,
        spotAllowed,
        estimateS,
        checkpointS,
        saveS,
        deadlineS,
        List.copyOf(others));
  }

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
        body.amount("plazo_s", NO_DEADLINE),
        readNeeds(body));
  }

  /** Each job once; absent, null and empty all mean that there is none. */
  private static List<String> readNeeds(Fields body) throws WireException {
    List<String> named = body.optTexts(DEPENDENCIES);
    if (named == null || named.isEmpty()) {
      return List.of();
    }
    Set<String> dependencies = new LinkedHashSet<>();
    for (String id : named) {
      if (!isId(id)) {
        throw new WireException(DEPENDENCIES, "must hold ids of the form job-000412");
      }
      dependencies.add(id);
    }
    return List.copyOf(new ArrayList<>(dependencies));
  }

  /** The submission in the protocol's form; a job without needs has the form it always had. */
  public Fields write() {
    Fields body =
        Fields.create()
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
    return dependencies.isEmpty()
        ? body
        : body.with(DEPENDENCIES, new ArrayList<Object>(dependencies));
  }

  private static String nonEmpty(Fields body, String name) throws WireException {
    String text = body.text(name);
    if (text.isEmpty()) {
      throw new WireException(name, "must not be empty");
    }
    return text;
  }
}
