package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.EmulatedCloud.MachineId;
import fennelthread.net.EventLoop;
import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import fennelthread.wire.WorkerReport.EndReason;
import fennelthread.wire.WorkerReport.Phase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * The tasks on one hollow machine: commands, image fetches, checkpoints and ends as the protocol
 * describes them, with timers in place of work.
 */
final class MachineTasks {
  /** Told of what happens to tasks. */
  interface Listener {
    /** A start was taken: the task is on the machine, and may have to wait for its image. */
    void began(MachineId machine, TaskRef task, long attempt);

    /** The task has its image and runs. */
    void running(MachineId machine, TaskRef task);

    /** The task is no longer on the machine. */
    void ended(MachineId machine, TaskRef task, boolean completed);

    /** What a report would say has changed. */
    void changed();
  }

  private static final class Task {
    final TaskRef ref;
    final long attempt;
    final JobSpec spec;
    Phase phase = Phase.FETCHING;
    EndReason motive;
    boolean kept;
    boolean present;
    EventLoop.Cancellable timer;

    Task(TaskRef ref, long attempt, JobSpec spec) {
      this.ref = ref;
      this.attempt = attempt;
      this.spec = spec;
    }

    String key() {
      return ref + "#" + attempt;
    }
  }

  private record Fetch(List<Task> waiting, EventLoop.Cancellable timer) {}

  private final SelectorLoop loop;
  private final MachineId machine;
  private final Function<String, JobSpec> jobs;
  private final RandomGenerator random;
  private final Listener listener;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<TaskRef> completed = new HashSet<>();
  private final ImageCache images;
  private final Map<String, Fetch> fetches = new HashMap<>();

  MachineTasks(
      SelectorLoop loop,
      MachineId machine,
      Function<String, JobSpec> jobs,
      RandomGenerator random,
      Listener listener) {
    this.loop = loop;
    this.machine = machine;
    this.jobs = jobs;
    this.random = random;
    this.listener = listener;
    this.images = new ImageCache(machine.type().cacheGb());
  }

  /** The tasks as a report names them. */
  List<WorkerReport.Task> report() {
    List<WorkerReport.Task> list = new ArrayList<>(tasks.size());
    for (Task task : tasks.values()) {
      list.add(new WorkerReport.Task(task.ref, task.attempt, task.phase, task.motive, task.kept));
    }
    return list;
  }

  /** Carries out a command. */
  void execute(WorkerCommand command) {
    if (command instanceof WorkerCommand.Run run) {
      run(run);
    } else if (command instanceof WorkerCommand.Stop stop) {
      Task task = tasks.get(stop.task() + "#" + stop.attempt());
      if (task != null && task.phase != Phase.ENDED) {
        stop(task, stop.graceS());
      }
    } else if (command instanceof WorkerCommand.Clear clear) {
      Task task = tasks.get(clear.task() + "#" + clear.attempt());
      if (task != null && task.phase == Phase.ENDED) {
        tasks.remove(task.key());
      }
    }
  }

  /** Kills and forgets all tasks; the images stay. */
  void killAll() {
    for (Task task : List.copyOf(tasks.values())) {
      leave(task, false);
    }
    tasks.clear();
    fetches.values().forEach(f -> f.timer.cancel());
    fetches.clear();
  }

  private void run(WorkerCommand.Run run) {
    Task task = new Task(run.task(), run.attempt(), jobs.apply(run.task().job()));
    if (tasks.containsKey(task.key())) {
      return;
    }
    EndReason refusal = refusal(task);
    tasks.put(task.key(), task);
    if (refusal != null) {
      end(task, refusal);
      return;
    }
    task.present = true;
    listener.began(machine, task.ref, task.attempt);
    listener.changed();
    if (images.use(task.spec.image())) {
      hasImage(task);
    } else {
      fetches.computeIfAbsent(task.spec.image(), k -> fetch(task.spec)).waiting.add(task);
    }
  }

  /** Why a start can't be taken, or null. */
  private EndReason refusal(Task task) {
    JobSpec spec = task.spec;
    if (spec == null || task.ref.index() >= spec.tasks()) {
      return EndReason.NO_SUCH;
    }
    double cpus = spec.cpus();
    double cards = spec.cards();
    double memGb = spec.memGb();
    for (Task other : tasks.values()) {
      if (other.phase != Phase.ENDED) {
        if (other.ref.equals(task.ref)) {
          return EndReason.BUSY;
        }
        cpus += other.spec.cpus();
        cards += other.spec.cards();
        memGb += other.spec.memGb();
      }
    }
    double slack = EmulationConstants.ROUNDING_TOLERANCE;
    boolean fits =
        cpus <= machine.type().cpus() + slack
            && cards <= machine.type().cards() + slack
            && memGb <= machine.type().memGb() + slack;
    return fits ? null : EndReason.FULL;
  }

  private Fetch fetch(JobSpec spec) {
    double seconds = spec.imageGb() / machine.type().fetchGbPerS() * (1 + between(-1, 1) / 3);
    EventLoop.Cancellable timer =
        loop.after(
            (long) (seconds * 1000),
            () -> {
              images.add(spec.image(), spec.imageGb());
              fetches.remove(spec.image()).waiting.forEach(this::hasImage);
            });
    return new Fetch(new ArrayList<>(), timer);
  }

  private double between(double low, double high) {
    return low + (high - low) * random.nextDouble();
  }

  private void hasImage(Task task) {
    if (task.phase != Phase.FETCHING || tasks.get(task.key()) != task) {
      return;
    }
    task.phase = Phase.RUNNING;
    listener.running(machine, task.ref);
    listener.changed();
    if (completed.contains(task.ref)) {
      end(task, EndReason.DONE);
    } else if (!task.spec.service()) {
      double seconds = task.spec.estimateS() * between(0.5, 1.5);
      task.timer = loop.after((long) (seconds * 1000), () -> end(task, EndReason.DONE));
    }
  }

  /** A running task that can save does so first if it is given the time. */
  private void stop(Task task, double graceS) {
    boolean saves = task.spec.checkpointS() > 0 && task.phase != Phase.FETCHING;
    if (!saves || graceS < task.spec.saveS()) {
      end(task, EndReason.HALTED);
    } else if (task.phase == Phase.RUNNING) {
      task.phase = Phase.FLUSHING;
      if (task.timer != null) {
        task.timer.cancel();
      }
      listener.changed();
      task.timer =
          loop.after(
              (long) (task.spec.saveS() * 1000),
              () -> {
                task.kept = true;
                end(task, EndReason.HALTED);
              });
    }
  }

  /** The one place where a task's end is entered. */
  private void end(Task task, EndReason motive) {
    if (task.phase == Phase.ENDED) {
      return;
    }
    if (task.phase == Phase.FETCHING && task.spec != null) {
      giveUpFetch(task);
    }
    task.phase = Phase.ENDED;
    task.motive = motive;
    if (motive == EndReason.DONE) {
      completed.add(task.ref);
    }
    leave(task, motive == EndReason.DONE);
    listener.changed();
  }

  private void giveUpFetch(Task task) {
    Fetch fetch = fetches.get(task.spec.image());
    if (fetch != null && fetch.waiting.remove(task) && fetch.waiting.isEmpty()) {
      fetch.timer.cancel();
      fetches.remove(task.spec.image());
    }
  }

  private void leave(Task task, boolean done) {
    if (task.timer != null) {
      task.timer.cancel();
    }
    if (task.present) {
      task.present = false;
      listener.ended(machine, task.ref, done);
    }
  }
}
