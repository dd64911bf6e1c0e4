package fennelthread.emulate;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** What a run has shown; written as JSON. Times are in the unit that their names end with. */
record RunReport(
    String command,
    String startedAt,
    boolean interrupted,
    Verdict verdict,
    Scale scale,
    Starts starts,
    Map<String, Waits> waits,
    PerWorker perWorker,
    StateUse state,
    Users users,
    List<ProcessUse> processes,
    List<FaultInjector.Done> faults,
    Environment environment,
    List<Sample> series,
    String configuration) {

  /**
   * The checker's verdict over the whole history.
   *
   * @param violations how many rules were broken; {@code first} holds the first of them
   * @param finalQuestions accepted jobs that were asked about at the end
   * @param finalAnswers how many of these questions got an answer
   */
  record Verdict(
      int violations,
      List<HistoryChecker.Violation> first,
      HistoryChecker.Counts checked,
      int finalQuestions,
      int finalAnswers) {}

  /** The size of the run. */
  record Scale(
      int workers,
      int controllers,
      int workerProcesses,
      double durationS,
      long seed,
      int controllerHeapMb,
      int rented,
      int returned) {}

  /** Starts of tasks; {@code best10S} is the largest mean of ten seconds. */
  record Starts(long total, double perSecond, double best10S, long restarted, double meanRunning) {}

  /** A distribution of waiting times. */
  record Waits(long count, double p50Ms, double p90Ms, double p99Ms, double maxMs) {}

  /** What control costs for each hollow worker, all controllers together. */
  record PerWorker(
      double controllersCpuPercentOfACore,
      double controllersBytesPerS,
      double reportsPerS,
      double reportBytesPerS,
      double failedReportsPerS,
      double commandRequestsPerS,
      long expiredLeases) {}

  /** What the state service has carried. */
  record StateUse(
      double requestsPerS,
      double changesPerS,
      double requestsPerStart,
      double changesPerStart,
      long refusedAsTooMany,
      long refusedAsMalformed,
      double kbPerS,
      int mostKeys) {}

  /** What users have met. */
  record Users(
      long submitted, long accepted, long refused, long givenUp, Map<String, Long> answers) {}

  /**
   * What a process has used; a controller's figures go on over its restarts.
   *
   * @param coreWaitMean how many of its threads could have run and had no core, on the mean: above
   *     a few hundredths the machine was too busy for the run's times to say much
   */
  record ProcessUse(
      String name,
      double cpuMean,
      double cpuMax,
      double coreWaitMean,
      double residentMaxMb,
      int descriptorsMax,
      double readKbPerS,
      double writtenKbPerS) {}

  /** The machine. */
  record Environment(
      int cores,
      long memoryMb,
      String java,
      double loadBefore,
      double loadAfter,
      double loadMax,
      Delays longestDelays) {}

  /**
   * The longest time by which a timer of the emulation came late, by thread, ms: above a few
   * hundred the emulation itself lacked a core, and tasks may outlive their leases for that reason.
   */
  record Delays(long stateMs, long usersMs, long workersMs) {}

  /** One second of the run; processor time is in cores, memory in MB. */
  record Sample(
      double atS,
      int workers,
      long starts,
      long completed,
      long running,
      long waiting,
      String leader,
      long epoch,
      long stateRequests,
      long stateChanges,
      long reports,
      List<Double> controllersCpu,
      List<Double> controllersCoreWait,
      List<Double> controllersMb,
      List<Integer> controllersSockets,
      double load) {}

  /** Writes it as JSON. */
  void write(Path file) throws IOException {
    ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    Files.write(file, mapper.writeValueAsBytes(this));
  }
}
