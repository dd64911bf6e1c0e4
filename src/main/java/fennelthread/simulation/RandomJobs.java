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
    return new JobSpec(
        String.format("job-%06d", ++nextJob),
        service ? "servicio" : "lote",
        red ? "roja" : "azul",
        service,
        service
            ? Priority.CRITICAL
            : network.random.nextBoolean() ? Priority.URGENT : Priority.STANDARD,
        tasks,
        cpus,
        0,
        2,
        "img-" + network.random.nextInt(4),
        1,
        network.random.nextInt(8) == 0 ? List.of("torre") : null,
        network.random.nextInt(8) == 0 && !apart ? "sur" : null,
        onePlace,
        apart,
        spot,
        service ? 0 : 1 + network.random.nextInt(12),
        0,
        0,
        service ? JobSpec.NO_DEADLINE : 60);
  }

  /** A job that may run on any machine, or on any ordinary one if it is a service. */
  JobSpec plain(boolean service, int tasks) {
    JobSpec any = job(service, tasks, 1, !service, false, false);
    return new JobSpec(
        any.id(),
        any.jobClass(),
        any.team(),
        service,
        any.priority(),
        tasks,
        1,
        0,
        2,
        any.image(),
        1,
        null,
        null,
        false,
        false,
        !service,
        any.estimateS(),
        0,
        0,
        any.deadlineS());
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
    return new JobSpec(
        String.format("job-%06d", ++nextJob),
        "lote",
        red ? "roja" : "azul",
        false,
        Priority.STANDARD,
        1,
        1,
        0,
        2,
        "img-0",
        1,
        null,
        null,
        false,
        false,
        true,
        5,
        0,
        0,
        60);
  }
}
