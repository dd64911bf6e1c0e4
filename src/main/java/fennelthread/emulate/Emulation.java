package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.RunReport.Sample;
import fennelthread.settings.SettingsException;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * One run: real controllers as processes of their own, hollow workers in a few more, and the state
 * service, the cloud and the users in this one, each on its own thread.
 */
public final class Emulation {
  /**
   * What a run is asked for.
   *
   * @param configuration the run's settings file
   * @param faults a file whose faults replace those of the settings file, null to keep these
   * @param workers replaces the file's number of workers, null to keep it
   * @param durationS how long users submit, s
   * @param seed decides all that is drawn at random
   * @param report where the report goes; the page goes beside it
   * @param command the command line, for the report
   */
  public record Request(
      Path configuration,
      Path faults,
      Integer workers,
      double durationS,
      long seed,
      Path report,
      String command) {}

  private final Request request;
  private final EmulationConfig config;
  private final PrintStream out;
  private final CountDownLatch stop = new CountDownLatch(1);
  private final CountDownLatch over = new CountDownLatch(1);
  private final SelectorLoop stateLoop;
  private final SelectorLoop usersLoop;
  private final SplittableRandom random;
  private final WorkerFleet workers = new WorkerFleet();
  private final Measurements measurements = new Measurements();
  private final RunRecorder recorder = new RunRecorder();
  private final List<String> controllerNames;
  private final double loadBefore = ProcessSampler.loadAverage();
  private final String startedAt = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
  private Addresses addresses;
  private ControllerFleet controllers;
  private EmulatedStateService state;
  private EmulatedCloud cloud;
  private ControllerDirectory directory;
  private EmulatedUsers users;
  private FaultInjector faults;
  private HistoryChecker checker;
  private long beganNanos;
  private int finalQuestions;

  private Emulation(Request request, EmulationConfig config, PrintStream out) throws IOException {
    this.request = request;
    this.config = config;
    this.out = out;
    this.random = new SplittableRandom(request.seed());
    this.stateLoop = new SelectorLoop("state-and-cloud");
    this.usersLoop = new SelectorLoop("users");
    this.controllerNames =
        IntStream.range(0, config.controllers()).mapToObj(ControllerFleet::name).toList();
  }

  /** Reads and checks what a run needs, without starting anything. */
  public static Emulation prepare(Request request, PrintStream out)
      throws SettingsException, IOException {
    EmulationConfig config =
        EmulationConfigReader.load(request.configuration(), request.faults(), request.workers());
    ResourceCheck.Needs needs = ResourceCheck.needs(config, Runtime.getRuntime().maxMemory() >> 20);
    ResourceCheck.check(
        needs,
        ProcessSampler.mostDescriptors(),
        ProcessSampler.memory("MemTotal") >> 20,
        ProcessSampler.memory("MemAvailable") >> 20);
    out.printf(
        "%d workers, %d processes, up to %d sockets and %d MB%n",
        config.workers(), needs.processes(), needs.sockets(), needs.memoryMb());
    return new Emulation(request, config, out);
  }

  /** Ends a run early, as Ctrl-C does, and waits until its report is written. */
  public void interrupt() throws InterruptedException {
    stop.countDown();
    over.await(EmulationConstants.RUN_REPORT_TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Runs to the end; how many rules were broken. */
  public int run() throws IOException, SettingsException, InterruptedException {
    Path logs = Files.createTempDirectory("fennelthread-emulate");
    try (ChildProcesses processes = new ChildProcesses(logs);
        Addresses claimed = Addresses.claim(new SplittableRandom())) {
      addresses = claimed;
      start(processes, logs);
      awaitFleet(logs);
      measureRun();
      boolean interrupted = stop.getCount() == 0;
      if (!interrupted) {
        askAboutAllJobs();
      }
      int violations = report(interrupted);
      out.println("controllers' and workers' logs: " + logs);
      return violations;
    } finally {
      stateLoop.stop();
      usersLoop.stop();
      over.countDown();
    }
  }

  // ---------------------------------------------------------------- start

  private void start(ChildProcesses processes, Path logs) throws IOException, SettingsException {
    beganNanos = System.nanoTime();
    checker =
        new HistoryChecker(
            ControllerFleet.teams(config),
            config.workerTiming().cancelMs(),
            workers::machine,
            workers::processOf,
            beganNanos);
    HistoryMerger merger =
        new HistoryMerger(
            event -> {
              checker.accept(event);
              measurements.accept(event);
            },
            checker::advanceTo);
    state = new EmulatedStateService(stateLoop, config.state(), random.split());
    cloud = new EmulatedCloud(stateLoop, config, addresses, workers);
    workers.onDeath((process, names) -> stateLoop.execute(() -> cloud.died(names)));
    workers.start(processes, config, merger, workerStarts());
    controllers = new ControllerFleet(config, addresses, processes, logs);
    faults = new FaultInjector(stateLoop, controllers, workers, state, cloud);
    directory = new ControllerDirectory(usersLoop, random.split(), apiAddresses());
    users =
        new EmulatedUsers(
            usersLoop,
            random.split(),
            directory,
            new JobGenerator(config, random.split()),
            merger.source(),
            measurements,
            workers::publish);
    merger.startDraining();
    listen();
    startLoops();
  }

  private void startLoops() throws IOException {
    controllers.start();
    usersLoop.start();
    usersLoop.execute(
        () -> {
          directory.start();
          users.start();
        });
    stateLoop.execute(
        () -> {
          state.start();
          cloud.start();
        });
  }

  private void listen() throws IOException, SettingsException {
    try {
      openListeners();
    } catch (BindException e) {
      throw new SettingsException(
          "ports "
              + EmulationConstants.STATE_PORT
              + " and "
              + EmulationConstants.CLOUD_PORT
              + " of the loopback can't be used: "
              + e.getMessage());
    }
  }

  private void openListeners() throws IOException {
    // Before the loop runs: nothing else uses its selector yet.
    for (int i = 0; i < config.controllers(); i++) {
      new HttpListener(stateLoop, Addresses.parse(addresses.state(i)), state.serviceFor(i));
      new HttpListener(stateLoop, Addresses.parse(addresses.cloud(i)), cloud);
    }
    stateLoop.start();
  }

  private List<String> workerStarts() {
    List<HollowWorker.Member> members = new ArrayList<>();
    for (int i = 0; i < config.controllers(); i++) {
      members.add(new HollowWorker.Member(ControllerFleet.name(i), addresses.api(i)));
    }
    List<String> starts = new ArrayList<>();
    for (int i = 0; i < config.workerProcesses(); i++) {
      starts.add(
          WorkerProcessMessage.start(members, config.workerTiming(), random.nextLong() >>> 1));
    }
    return starts;
  }

  private List<String> apiAddresses() {
    return IntStream.range(0, config.controllers()).mapToObj(addresses::api).toList();
  }

  /** Waits until a controller serves users and all machines are up. */
  private void awaitFleet(Path logs) throws SettingsException, InterruptedException {
    long deadline = SelectorLoop.nowMs() + config.bootMs() + EmulationConstants.STARTUP_TIMEOUT_MS;
    while (directory.healthy() == 0
        || state.leader.member() == null
        || workers.traffic().workers() < config.workers()) {
      if (SelectorLoop.nowMs() > deadline) {
        throw new SettingsException(
            "after "
                + (config.bootMs() + EmulationConstants.STARTUP_TIMEOUT_MS) / 1000
                + " s "
                + directory.healthy()
                + " controllers serve and "
                + workers.traffic().workers()
                + " workers are up; see the logs in "
                + logs);
      }
      if (stop.await(EmulationConstants.DRAIN_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
        return;
      }
    }
  }

  // ---------------------------------------------------------------- run

  private void measureRun() throws IOException, InterruptedException {
    long durationMs = (long) (request.durationS() * 1000);
    measurements.measureFrom(
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(config.measureFromMs()));
    recorder.baseline(pids(), totals());
    long beganMs = SelectorLoop.nowMs();
    usersLoop.execute(users::beginArrivals);
    stateLoop.execute(() -> faults.schedule(config.faults(), durationMs));
    long lastMs = beganMs;
    for (int second = 1; lastMs < beganMs + durationMs; second++) {
      long dueMs = Math.min(beganMs + second * 1000L, beganMs + durationMs);
      if (stop.await(Math.max(1, dueMs - SelectorLoop.nowMs()), TimeUnit.MILLISECONDS)) {
        break;
      }
      long nowMs = SelectorLoop.nowMs();
      boolean fits = sample((nowMs - beganMs) / 1000.0, (nowMs - lastMs) / 1000.0);
      lastMs = nowMs;
      if (!fits) {
        out.println("the run takes more than half of the machine's memory: it ends here");
        stop.countDown();
      }
    }
    usersLoop.execute(users::endArrivals);
  }

  /** Adds a second to the figures and prints it; false if too much memory is in use. */
  private boolean sample(double atS, double seconds) throws IOException {
    restartEndedControllers();
    long resident = recorder.observe(pids(), seconds);
    WorkerTraffic traffic = workers.traffic();
    Sample s =
        recorder.sample(
            atS,
            seconds,
            (int) traffic.workers(),
            totals(),
            state.leader,
            state.keys,
            controllerNames);
    int broken = checker.violationCount();
    out.printf(
        "%4.0f s  workers %d  starts/s %d  running %d  waiting %d  leader %s (epoch %d)%s%n",
        atS,
        s.workers(),
        s.starts(),
        s.running(),
        s.waiting(),
        s.leader() == null ? "none" : s.leader(),
        s.epoch(),
        broken == 0 ? "" : "  RULES BROKEN " + broken);
    long memory = ProcessSampler.memory("MemTotal");
    return memory < 0 || resident < memory / 2;
  }

  /** Enters controllers that ended by themselves into the verdict, and starts them anew. */
  private void restartEndedControllers() throws IOException {
    for (int member : controllers.endedByThemselves()) {
      checker.controllerEnded(System.nanoTime(), ControllerFleet.name(member));
      controllers.restart(member);
    }
  }

  private Map<String, Long> pids() {
    Map<String, Long> pids = new LinkedHashMap<>();
    for (int i = 0; i < config.controllers(); i++) {
      pids.put(ControllerFleet.name(i), controllers.process(i).pid());
    }
    workers.pids().forEach(pids::put);
    pids.put("emulation", ProcessHandle.current().pid());
    return pids;
  }

  private RunRecorder.Totals totals() {
    return new RunRecorder.Totals(
        measurements.counts(),
        checker.present(),
        workers.traffic(),
        state.requests.get(),
        state.changes.get(),
        state.bytes.get());
  }

  /** Nothing may be forgotten: each accepted job is asked about once more. */
  private void askAboutAllJobs() throws InterruptedException {
    finalQuestions = checker.acceptedJobs().size();
    usersLoop.execute(users::askAboutAll);
    long deadline =
        SelectorLoop.nowMs()
            + EmulationConstants.FINAL_POLL_SLACK_MS
            + finalQuestions * 1000L / EmulationConstants.FINAL_POLLS_PER_S;
    while (users.finalAnswers() < finalQuestions && SelectorLoop.nowMs() < deadline) {
      if (stop.await(EmulationConstants.DRAIN_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
        return;
      }
    }
    TimeUnit.MILLISECONDS.sleep(EmulationConstants.SETTLE_MS);
  }

  // ---------------------------------------------------------------- report

  private int report(boolean interrupted) throws IOException {
    checker.finish(System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(EmulationConstants.SETTLE_MS));
    List<Sample> series = recorder.series();
    double durationS = series.isEmpty() ? 1 : series.get(series.size() - 1).atS();
    EmulatedUsers.Counts counts = users.counts();
    RunReport report =
        new RunReport(
            request.command(),
            startedAt,
            interrupted,
            new RunReport.Verdict(
                checker.violationCount(),
                checker.violations(),
                checker.counts(),
                finalQuestions,
                Math.min(finalQuestions, users.finalAnswers())),
            new RunReport.Scale(
                config.workers(),
                config.controllers(),
                config.workerProcesses(),
                durationS,
                request.seed(),
                config.controllerHeapMb(),
                cloud.rented.get(),
                cloud.returned.get()),
            recorder.starts(durationS),
            RunRecorder.waits(measurements.histograms()),
            recorder.perWorker(durationS, config.workers(), controllerNames),
            recorder.state(durationS, state),
            new RunReport.Users(
                counts.submitted(),
                counts.accepted(),
                counts.refused(),
                counts.givenUp(),
                counts.statuses()),
            recorder.processes(durationS),
            faults.done(),
            environment(),
            series,
            Files.readString(request.configuration()));
    write(report);
    return report.verdict().violations();
  }

  private RunReport.Environment environment() {
    return new RunReport.Environment(
        Runtime.getRuntime().availableProcessors(),
        ProcessSampler.memory("MemTotal") >> 20,
        System.getProperty("java.version"),
        loadBefore,
        ProcessSampler.loadAverage(),
        recorder.loadMax(),
        new RunReport.Delays(
            stateLoop.longestDelayMs(),
            usersLoop.longestDelayMs(),
            workers.traffic().longestDelayMs()));
  }

  private void write(RunReport report) throws IOException {
    Path json = request.report();
    report.write(json);
    String name = json.getFileName().toString().replaceAll("\\.json$", "");
    Path page = json.resolveSibling(name + ".html");
    new ReportPage(report).write(page);
    RunReport.Waits urgent = report.waits().get("started/priority/urgent");
    out.printf(
        "%s: %d starts, %.1f a second%s; report: %s and %s%n",
        report.verdict().violations() == 0
            ? "no rule broken"
            : "RULES BROKEN: " + report.verdict().violations(),
        report.starts().total(),
        report.starts().perSecond(),
        urgent == null
            ? ""
            : String.format(", urgent work started within %.0f ms (p99)", urgent.p99Ms()),
        json,
        page.getFileName());
    report.verdict().first().stream()
        .limit(5)
        .forEach(v -> out.printf("  %.2f s %s: %s%n", v.atS(), v.rule(), v.detail()));
  }
}
