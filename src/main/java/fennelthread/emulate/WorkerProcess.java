package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.EmulatedCloud.MachineId;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WireException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The program of a process with hollow workers. It reads commands on standard input, one a line
 * ({@link WorkerProcessMessage}), and writes what happens on its machines to standard output; it
 * ends when its input does, so that it can't outlive the run.
 */
public final class WorkerProcess implements HollowWorker.Context, MachineTasks.Listener {
  /** Ends each line: one that lacks it was cut short by the process's end. */
  static final String END_OF_LINE = ";";

  private final SelectorLoop loop;
  private final List<HollowWorker.Member> members = new ArrayList<>();
  private final Settings.WorkerTiming timing;
  private final SplittableRandom random;
  private final Map<String, JobSpec> jobs = new ConcurrentHashMap<>();
  private final Map<String, HollowWorker> workers = new HashMap<>();
  private final HollowWorker.Traffic traffic = new HollowWorker.Traffic();
  private final PrintStream out;
  private final StringBuilder unsent = new StringBuilder();

  private WorkerProcess(Fields start, PrintStream out) throws WireException, IOException {
    this.out = out;
    this.loop = new SelectorLoop("hollow-workers");
    for (Fields member : start.maps("members")) {
      members.add(new HollowWorker.Member(member.text("name"), member.text("address")));
    }
    this.timing =
        new Settings.WorkerTiming(
            start.count("report_ms"), start.count("lease_ms"), start.count("cancel_ms"));
    this.random = new SplittableRandom(start.count("seed"));
  }

  /** Runs until standard input ends. */
  public static void main(String[] args) throws IOException, WireException {
    PrintStream out = System.out;
    // Whatever else prints must not get between the events.
    System.setOut(System.err);
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    String first = in.readLine();
    if (first == null) {
      return;
    }
    WorkerProcess process = new WorkerProcess(decode(first), out);
    process.run(in);
    System.exit(0);
  }

  private static Fields decode(String line) throws WireException {
    return Codec.JSON.decode(line.getBytes(StandardCharsets.UTF_8));
  }

  private void run(BufferedReader in) throws IOException, WireException {
    loop.start();
    loop.execute(
        () -> {
          loop.every(EmulationConstants.WATERMARK_INTERVAL_MS, this::tellTime);
          loop.every(EmulationConstants.SAMPLE_INTERVAL_MS, this::tellTraffic);
        });
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      Fields message = decode(line);
      WorkerProcessMessage.Kind kind = WorkerProcessMessage.kind(message);
      if (kind == WorkerProcessMessage.Kind.JOB) {
        // At once: a start may follow before the loop gets to it.
        JobSpec job = WorkerProcessMessage.readJob(message);
        jobs.put(job.id(), job);
      } else {
        loop.execute(() -> execute(kind, message));
      }
    }
  }

  private void execute(WorkerProcessMessage.Kind kind, Fields message) {
    try {
      switch (kind) {
        case BOOT -> boot(WorkerProcessMessage.readMachine(message));
        case END -> end(message.text("machine"));
        case CUT -> cut(message.text("zone"), message.count("for_ms"));
        case JOB -> throw new IllegalStateException("jobs are taken at once");
      }
    } catch (WireException | IOException e) {
      System.err.println("emulation: a command failed: " + e);
    }
  }

  private void boot(MachineId machine) throws IOException {
    workers.put(machine.name(), new HollowWorker(loop, this, machine, random.split()));
  }

  private void end(String machine) {
    HollowWorker worker = workers.remove(machine);
    if (worker != null) {
      worker.end();
    }
    tell("x " + machine);
    beforeSend();
  }

  private void cut(String zone, long forMs) {
    setCut(zone, true);
    loop.after(forMs, () -> setCut(zone, false));
  }

  private void setCut(String zone, boolean cut) {
    for (HollowWorker worker : workers.values()) {
      if (worker.zone().equals(zone)) {
        worker.cutOff(cut);
      }
    }
  }

  private void tellTime() {
    tell("w " + System.nanoTime());
    beforeSend();
  }

  private void tellTraffic() {
    tell("t " + new WorkerTraffic(workers.size(), traffic, loop.longestDelayMs()).line());
    beforeSend();
  }

  @Override
  public void began(MachineId machine, TaskRef task, long attempt) {
    add(new HistoryEvent.Began(System.nanoTime(), machine.name(), task, attempt));
  }

  @Override
  public void running(MachineId machine, TaskRef task) {
    add(new HistoryEvent.Running(System.nanoTime(), machine.name(), task));
  }

  @Override
  public void ended(MachineId machine, TaskRef task, boolean completed) {
    add(new HistoryEvent.Ended(System.nanoTime(), machine.name(), task, completed));
  }

  private void add(HistoryEvent.OnMachine event) {
    tell(event.line());
  }

  private void tell(String line) {
    unsent.append(line).append(END_OF_LINE).append('\n');
  }

  @Override
  public void changed() {
    // Each worker reports its own changes.
  }

  /**
   * An event leaves before any message that it may have caused: killed, this process hides none.
   */
  @Override
  public void beforeSend() {
    if (unsent.length() > 0) {
      byte[] bytes = unsent.toString().getBytes(StandardCharsets.US_ASCII);
      unsent.setLength(0);
      out.write(bytes, 0, bytes.length);
      out.flush();
    }
  }

  @Override
  public List<HollowWorker.Member> members() {
    return members;
  }

  @Override
  public Settings.WorkerTiming timing() {
    return timing;
  }

  @Override
  public JobSpec job(String id) {
    return jobs.get(id);
  }

  @Override
  public MachineTasks.Listener history() {
    return this;
  }

  @Override
  public HollowWorker.Traffic traffic() {
    return traffic;
  }
}
