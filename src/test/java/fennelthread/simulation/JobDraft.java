package fennelthread.simulation;

import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.List;

/** A job of a test, put together field by field: what is not said is as plain as can be. */
final class JobDraft {
  private final JobSpec base;
  private final double runS;
  private String team = "roja";
  private Priority priority = Priority.STANDARD;
  private double cpus = 1;
  private double imageGb = 1;
  private List<String> types;
  private String zone;
  private boolean samePlace;
  private boolean apart;
  private double checkpointS;

  private JobDraft(JobSpec base, double runS) {
    this.base = base;
    this.runS = runS;
  }

  /** An array whose tasks run for half to one and a half times so long, s. */
  static JobDraft array(SimulatedCluster c, int tasks, double runS) {
    return new JobDraft(c.plainJob(false, tasks), runS);
  }

  /** A service of so many replicas. */
  static JobDraft service(SimulatedCluster c, int tasks) {
    return new JobDraft(c.plainJob(true, tasks), 0).priority(Priority.CRITICAL);
  }

  JobDraft team(String name) {
    team = name;
    return this;
  }

  JobDraft priority(Priority p) {
    priority = p;
    return this;
  }

  JobDraft cpus(double each) {
    cpus = each;
    return this;
  }

  JobDraft imageGb(double gb) {
    imageGb = gb;
    return this;
  }

  JobDraft type(String name) {
    types = List.of(name);
    return this;
  }

  JobDraft zone(String name) {
    zone = name;
    return this;
  }

  /** Binds the job to zones as a test's table says: any of {@code same_place}, {@code apart}. */
  JobDraft rules(String names) {
    samePlace = names.contains("same_place");
    apart = names.contains("apart");
    return this;
  }

  JobDraft checkpoints(double everyS) {
    checkpointS = everyS;
    return this;
  }

  JobSpec spec() {
    return JobSpec.builder(base.id())
        .jobClass(base.jobClass())
        .team(team)
        .service(base.service())
        .priority(priority)
        .tasks(base.tasks())
        .cpus(cpus)
        .memGb(1)
        .image(base.image())
        .imageGb(imageGb)
        .types(types)
        .zone(zone)
        .sameZone(samePlace)
        .spreadAcrossZones(apart)
        .spotAllowed(!base.service())
        .estimateS(runS)
        .checkpointS(checkpointS)
        .saveS(checkpointS > 0 ? 1 : 0)
        .build();
  }
}
