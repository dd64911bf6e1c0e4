package fennelthread.wire;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A job as its user submits it: an array of tasks that each run once, or a service of replicas that
 * run until it is cancelled.
 *
 * @param id the job id, such as {@code job-000412}
 * @param jobClass the class of jobs that objectives refer to
 * @param team the team whose limits apply
 * @param service true for a service, false for a job array
 * @param tasks the number of tasks or replicas
 * @param cpus CPUs of each task
 * @param cards GPUs of each task
 * @param memGb memory of each task, GB
 * @param image the image that a machine must fetch before it runs a task
 * @param imageGb the size of the image, GB
 * @param types the allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param sameZone true if all tasks must be in one zone
 * @param spreadAcrossZones true if no zone may have more than half of the tasks, rounded up
 * @param spotAllowed true if tasks may run on spot machines
 * @param estimateS the owner's estimate of a task's run time, seconds
 * @param checkpointS the interval of checkpoints, seconds; 0 if a task saves no progress
 * @param saveS the time that a task needs to save its progress, seconds
 * @param deadlineS the time from submission by which the job should be done, seconds, or {@link
 *     #NO_DEADLINE}
 * @param dependencies the jobs that must be done before any task of this one starts
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

  /** Most tasks of one job: the protocol's bound. */
  public static final int MAX_TASKS = 100_000;

  /** The wire name of the field with the dependencies. */
  public static final String DEPENDENCIES = "espera";

  private static final Pattern ID_PATTERN = Pattern.compile("job-[0-9]{1,32}");

  /**
   * Returns a builder for a job array of one task with standard priority and without dependencies
   * or a deadline.
   */
  public static Builder builder(String id) {
    return new Builder(id);
  }

  /** Returns this job with other dependencies. */
  public JobSpec withDependencies(List<String> newDependencies) {
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
        List.copyOf(newDependencies));
  }

  /** Returns true if {@code id} has the form of a job id. */
  public static boolean isId(String id) {
    return ID_PATTERN.matcher(id).matches();
  }

  /**
   * Reads only the id of a submission: a repeated submission of a known job is answered with the
   * job's state even if the rest of the body is invalid.
   */
  public static String readId(Fields body) throws WireException {
    String id = body.text("name_id");
    if (!isId(id)) {
      throw new WireException("name_id", "is not of the form job-000412");
    }
    return id;
  }

  /** Reads and validates a submission. */
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

  /** Reads the dependencies without duplicates; absent, null and empty all mean none. */
  private static List<String> readDependencies(Fields body) throws WireException {
    List<String> ids = body.optTexts(DEPENDENCIES);
    if (ids == null || ids.isEmpty()) {
      return List.of();
    }
    Set<String> dependencies = new LinkedHashSet<>();
    for (String id : ids) {
      if (!isId(id)) {
        throw new WireException(DEPENDENCIES, "must hold ids of the form job-000412");
      }
      dependencies.add(id);
    }
    return List.copyOf(new ArrayList<>(dependencies));
  }

  /**
   * Writes the submission. The field for dependencies is left out if there are none, so that
   * versions that don't know it read and write the same job.
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

  /** Builds a job from named properties, which are described at {@link JobSpec}. */
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

    /** Sets the class of jobs that objectives refer to. */
    public Builder jobClass(String jobClass) {
      this.jobClass = jobClass;
      return this;
    }

    /** Sets the team whose limits apply. */
    public Builder team(String team) {
      this.team = team;
      return this;
    }

    /** Sets whether tasks are replicas that run until the job is cancelled, or a job array. */
    public Builder service(boolean service) {
      this.service = service;
      return this;
    }

    /** Sets the priority; the default is standard. */
    public Builder priority(Priority priority) {
      this.priority = priority;
      return this;
    }

    /** Sets the number of tasks; the default is one. */
    public Builder tasks(int tasks) {
      this.tasks = tasks;
      return this;
    }

    /** Sets the CPUs of each task. */
    public Builder cpus(double cpus) {
      this.cpus = cpus;
      return this;
    }

    /** Sets the GPUs of each task. */
    public Builder cards(double cards) {
      this.cards = cards;
      return this;
    }

    /** Sets the memory of each task, GB. */
    public Builder memGb(double memGb) {
      this.memGb = memGb;
      return this;
    }

    /** Sets the image that a machine must fetch first. */
    public Builder image(String image) {
      this.image = image;
      return this;
    }

    /** Sets the size of the image, GB. */
    public Builder imageGb(double imageGb) {
      this.imageGb = imageGb;
      return this;
    }

    /** Sets the allowed machine types; null allows any. */
    public Builder types(List<String> types) {
      this.types = types;
      return this;
    }

    /** Sets the only allowed zone; null allows any. */
    public Builder zone(String zone) {
      this.zone = zone;
      return this;
    }

    /** Sets whether all tasks must be in the same zone. */
    public Builder sameZone(boolean sameZone) {
      this.sameZone = sameZone;
      return this;
    }

    /** Sets whether at most half of the tasks, rounded up, may be in one zone. */
    public Builder spreadAcrossZones(boolean spreadAcrossZones) {
      this.spreadAcrossZones = spreadAcrossZones;
      return this;
    }

    /** Sets whether tasks may run on spot machines. */
    public Builder spotAllowed(boolean spotAllowed) {
      this.spotAllowed = spotAllowed;
      return this;
    }

    /** Sets the owner's estimate of a task's run time, seconds. */
    public Builder estimateS(double estimateS) {
      this.estimateS = estimateS;
      return this;
    }

    /** Sets the interval of checkpoints, seconds; 0 for none. */
    public Builder checkpointS(double checkpointS) {
      this.checkpointS = checkpointS;
      return this;
    }

    /** Sets the time that a task needs to save its progress, seconds. */
    public Builder saveS(double saveS) {
      this.saveS = saveS;
      return this;
    }

    /** Sets the time from submission by which the job should be done, seconds. */
    public Builder deadlineS(double deadlineS) {
      this.deadlineS = deadlineS;
      return this;
    }

    /** Sets the jobs that must be done first. */
    public Builder dependencies(List<String> dependencies) {
      this.dependencies = dependencies;
      return this;
    }

    /** Returns the job with the properties that were set. */
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
