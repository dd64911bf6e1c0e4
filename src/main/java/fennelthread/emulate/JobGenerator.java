package fennelthread.emulate;

import fennelthread.emulate.EmulationConfig.JobClass;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws the jobs that users submit: arrivals in open loop, by class, from one seed. */
final class JobGenerator {
  private final EmulationConfig config;
  private final RandomGenerator random;
  private final double shares;
  private int lastJob;

  JobGenerator(EmulationConfig config, RandomGenerator random) {
    this.config = config;
    this.random = random;
    this.shares = config.jobClasses().stream().mapToDouble(JobClass::share).sum();
  }

  /**
   * A job that a user is about to submit.
   *
   * @param job the job, without the jobs that it waits for
   * @param cancelAfterS when its user cancels it, s after its submission; less than 0 if never
   * @param named the jobs that it waits for, null if none
   */
  record Arrival(JobSpec job, double cancelAfterS, EmulationConfig.NamedJobs named) {}

  /** The jobs that arrive within a short time, s, around a moment of the run, s. */
  List<Arrival> arrivals(double atS, double withinS) {
    double starts = config.load().startsPerSecond(atS) * withinS;
    List<Arrival> arrivals = new ArrayList<>();
    for (JobClass jobClass : config.jobClasses()) {
      if (!jobClass.arrivesAt(atS)) {
        continue;
      }
      double mean = starts * jobClass.share() / shares / jobClass.tasks().mean();
      for (int n = poisson(mean); n > 0; n--) {
        arrivals.add(draw(jobClass));
      }
    }
    return arrivals;
  }

  /** A number of independent events of this mean, which is small. */
  private int poisson(double mean) {
    double least = Math.exp(-mean);
    int count = 0;
    for (double product = random.nextDouble(); product > least; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }

  private Arrival draw(JobClass c) {
    double taskS = c.taskS().at(random.nextDouble());
    int tasks = (int) Math.round(c.tasks().at(random.nextDouble()));
    JobSpec job =
        JobSpec.builder(String.format("job-%06d", ++lastJob))
            .jobClass(c.name())
            .team(c.teams().get(random.nextInt(c.teams().size())))
            .service(c.service())
            .priority(c.priority())
            .tasks(tasks)
            .cpus(c.cpus())
            .memGb(c.memGb())
            .image("img-" + c.name() + "-" + random.nextInt(c.images()))
            .imageGb(c.imageGb())
            .sameZone(c.onePlace())
            .spreadAcrossZones(c.apart())
            .spotAllowed(c.spot())
            .estimateS(c.service() ? 0 : taskS)
            .build();
    boolean cancels = c.service() || random.nextDouble() < c.cancelShare();
    double cancelAfterS = c.service() ? taskS : taskS * random.nextDouble();
    return new Arrival(job, cancels ? cancelAfterS : -1, c.named());
  }
}
