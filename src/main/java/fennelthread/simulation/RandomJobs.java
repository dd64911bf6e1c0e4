package fennelthread.simulation;

import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.List;

/** Creates jobs with sequential ids; random properties come from the network's generators. */
final class RandomJobs {
  private final SimulatedNetwork network;
  private int lastJobNumber;

  RandomJobs(SimulatedNetwork network) {
    this.network = network;
  }

  /**
   * A job of a random team; one in eight is bound to a machine type, and one in eight to a zone
   * unless it is spread across zones.
   */
  JobSpec job(
      boolean service,
      int tasks,
      double cpus,
      boolean spotAllowed,
      boolean sameZone,
      boolean spreadAcrossZones) {
    boolean isRed = network.random.nextBoolean();
    return JobSpec.builder(String.format("job-%06d", ++lastJobNumber))
        .jobClass(service ? "servicio" : "lote")
        .team(isRed ? "roja" : "azul")
        .service(service)
        .priority(
            service
                ? Priority.CRITICAL
                : network.random.nextBoolean() ? Priority.URGENT : Priority.STANDARD)
        .tasks(tasks)
        .cpus(cpus)
        .memGb(2)
        .image("img-" + network.random.nextInt(4))
        .imageGb(1)
        .types(network.random.nextInt(8) == 0 ? List.of("torre") : null)
        .zone(network.random.nextInt(8) == 0 && !spreadAcrossZones ? "sur" : null)
        .sameZone(sameZone)
        .spreadAcrossZones(spreadAcrossZones)
        .spotAllowed(spotAllowed)
        .estimateS(service ? 0 : 1 + network.random.nextInt(12))
        .deadlineS(service ? JobSpec.NO_DEADLINE : 60)
        .build();
  }

  /** A job without placement rules, except that a service runs on regular machines only. */
  JobSpec plainJob(boolean service, int tasks) {
    JobSpec random = job(service, tasks, 1, !service, false, false);
    return JobSpec.builder(random.id())
        .jobClass(random.jobClass())
        .team(random.team())
        .service(service)
        .priority(random.priority())
        .tasks(tasks)
        .cpus(1)
        .memGb(2)
        .image(random.image())
        .imageGb(1)
        .spotAllowed(!service)
        .estimateS(random.estimateS())
        .deadlineS(random.deadlineS())
        .build();
  }

  /** An array or service with random properties. */
  JobSpec randomJob() {
    boolean service = network.random.nextInt(4) == 0;
    boolean spreadAcrossZones = network.random.nextInt(5) == 0;
    return job(
        service,
        service ? 1 + network.random.nextInt(3) : 1 + network.random.nextInt(14),
        1 + network.random.nextInt(4),
        network.random.nextBoolean(),
        !spreadAcrossZones && network.random.nextInt(4) == 0,
        spreadAcrossZones);
  }

  /**
   * A job that is not recorded as submitted; it draws from the faults' generator, so that a run's
   * other random choices stay the same.
   */
  JobSpec oddJob() {
    boolean isRed = network.faults.nextBoolean();
    return JobSpec.builder(String.format("job-%06d", ++lastJobNumber))
        .jobClass("lote")
        .team(isRed ? "roja" : "azul")
        .tasks(1)
        .cpus(1)
        .memGb(2)
        .image("img-0")
        .imageGb(1)
        .spotAllowed(true)
        .estimateS(5)
        .deadlineS(60)
        .build();
  }
}
