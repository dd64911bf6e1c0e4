package fennelthread.simulation;

import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.List;

/** Makes jobs with ids in sequence; what users vary is drawn from the network's chance. */
final class RandomJobs {
  private final SimulatedNetwork network;
  private int nextJob;

  RandomJobs(SimulatedNetwork network) {
    this.network = network;
  }

  /** A job of a random team, with the given tasks; some are bound to a type or a zone. */
  JobSpec job(
      boolean service, int tasks, double cpus, boolean spot, boolean onePlace, boolean apart) {
    boolean red = network.random.nextBoolean();
    return JobSpec.builder(String.format("job-%06d", ++nextJob))
        .jobClass(service ? "servicio" : "lote")
        .team(red ? "roja" : "azul")
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
        .zone(network.random.nextInt(8) == 0 && !apart ? "sur" : null)
        .sameZone(onePlace)
        .spreadAcrossZones(apart)
        .spotAllowed(spot)
        .estimateS(service ? 0 : 1 + network.random.nextInt(12))
        .deadlineS(service ? JobSpec.NO_DEADLINE : 60)
        .build();
  }

  /** A job that may run on any machine, or on any ordinary one if it is a service. */
  JobSpec plainJob(boolean service, int tasks) {
    JobSpec any = job(service, tasks, 1, !service, false, false);
    return JobSpec.builder(any.id())
        .jobClass(any.jobClass())
        .team(any.team())
        .service(service)
        .priority(any.priority())
        .tasks(tasks)
        .cpus(1)
        .memGb(2)
        .image(any.image())
        .imageGb(1)
        .spotAllowed(!service)
        .estimateS(any.estimateS())
        .deadlineS(any.deadlineS())
        .build();
  }

  /** A random array or service. */
  JobSpec any() {
    boolean service = network.random.nextInt(4) == 0;
    boolean apart = network.random.nextInt(5) == 0;
    return job(
        service,
        service ? 1 + network.random.nextInt(3) : 1 + network.random.nextInt(14),
        1 + network.random.nextInt(4),
        network.random.nextBoolean(),
        !apart && network.random.nextInt(4) == 0,
        apart);
  }

  /** A job with an id of its own that is not counted as submitted; it draws from the faults. */
  JobSpec odd() {
    boolean red = network.faults.nextBoolean();
    return JobSpec.builder(String.format("job-%06d", ++nextJob))
        .jobClass("lote")
        .team(red ? "roja" : "azul")
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
