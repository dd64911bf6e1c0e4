package fennelthread.wire;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A job as its user submits it. Durations are in seconds, memory and images in GB; {@code
 * dependencies} names the jobs that must be done before any task of this one starts.
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
    boolean sameZone,
    boolean spreadAcrossZones,
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

  /** Begins a job array of one task of standard priority, without dependencies or a deadline. */
  public static Builder builder(String id) {
    return new Builder(id);
  }

  /** The same job with other dependencies. */
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
        sameZone,
        spreadAcrossZones,
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
        readDependencies(body));
  }

  /** Each job once; absent, null and empty all mean that there is none. */
  private static List<String> readDependencies(Fields body) throws WireException {
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

  /**
   * The submission in the protocol's form; a job without dependencies has the form it always had.
   */
  public Fields write() {
    Fields body =
        Fields.create()
            .with("name_id", id)
            .with("clase", jobClass)
            .with("dueno", team)
            .with("tipo", service ? "standing" : "sweep")
            .with("prioridad", priority.wireName())
            .with("tareas", (long) tasks)
            .with("cpus", cpus)
            .with("cards", cards)
            .with("mem_gb", memGb)
            .with("imagen", image)
            .with("pull_gb", imageGb)
            .with("modelos", types)
            .with("zona", zone)
            .with("same_place", sameZone)
            .with("apart", spreadAcrossZones)
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

  /** Puts a job together by the names of its properties. */
  public static final class Builder {
    private final String id;
    private String jobClass;
    private String team;
    private boolean service;
    private Priority priority = Priority.STANDARD;
    private int tasks = 1;
    private double cpus;
    private double cards;
    private double memGb;
    private String image;
    private double imageGb;
    private List<String> types;
    private String zone;
    private boolean sameZone;
    private boolean spreadAcrossZones;
    private boolean spotAllowed;
    private double estimateS;
    private double checkpointS;
    private double saveS;
    private double deadlineS = NO_DEADLINE;
    private List<String> dependencies = List.of();

    private Builder(String id) {
      this.id = id;
    }

    /** The class of jobs that it belongs to. */
    public Builder jobClass(String jobClass) {
      this.jobClass = jobClass;
      return this;
    }

    /** The team whose quota applies. */
    public Builder team(String team) {
      this.team = team;
      return this;
    }

    /** True for replicas that run until the job is cancelled, false for a job array. */
    public Builder service(boolean service) {
      this.service = service;
      return this;
    }

    /** The priority; standard if none is set. */
    public Builder priority(Priority priority) {
      this.priority = priority;
      return this;
    }

    /** The number of tasks; one if none is set. */
    public Builder tasks(int tasks) {
      this.tasks = tasks;
      return this;
    }

    /** The CPUs of each task. */
    public Builder cpus(double cpus) {
      this.cpus = cpus;
      return this;
    }

    /** The accelerator cards of each task. */
    public Builder cards(double cards) {
      this.cards = cards;
      return this;
    }

    /** The memory of each task, GB. */
    public Builder memGb(double memGb) {
      this.memGb = memGb;
      return this;
    }

    /** The image that a machine must have. */
    public Builder image(String image) {
      this.image = image;
      return this;
    }

    /** The size of the image, GB. */
    public Builder imageGb(double imageGb) {
      this.imageGb = imageGb;
      return this;
    }

    /** The allowed machine types, or null for any. */
    public Builder types(List<String> types) {
      this.types = types;
      return this;
    }

    /** The only allowed zone, or null. */
    public Builder zone(String zone) {
      this.zone = zone;
      return this;
    }

    /** True if all tasks must be in the same zone. */
    public Builder sameZone(boolean sameZone) {
      this.sameZone = sameZone;
      return this;
    }

    /** True if at most half of the tasks may be in one zone. */
    public Builder spreadAcrossZones(boolean spreadAcrossZones) {
      this.spreadAcrossZones = spreadAcrossZones;
      return this;
    }

    /** True if the job may use spot machines. */
    public Builder spotAllowed(boolean spotAllowed) {
      this.spotAllowed = spotAllowed;
      return this;
    }

    /** The owner's estimate of a task's run time, seconds. */
    public Builder estimateS(double estimateS) {
      this.estimateS = estimateS;
      return this;
    }

    /** The interval of checkpoints, seconds; 0 for none. */
    public Builder checkpointS(double checkpointS) {
      this.checkpointS = checkpointS;
      return this;
    }

    /** The time that a task needs to save its progress, seconds. */
    public Builder saveS(double saveS) {
      this.saveS = saveS;
      return this;
    }

    /** The time from its submission by which the job should be done, seconds. */
    public Builder deadlineS(double deadlineS) {
      this.deadlineS = deadlineS;
      return this;
    }

    /** The jobs that must be done first. */
    public Builder dependencies(List<String> dependencies) {
      this.dependencies = dependencies;
      return this;
    }

    /** The job. */
    public JobSpec build() {
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
          sameZone,
          spreadAcrossZones,
          spotAllowed,
          estimateS,
          checkpointS,
          saveS,
          deadlineS,
          dependencies);
    }
  }
}
