package fennelthread.emulate;

import fennelthread.emulate.EmulatedCloud.MachineId;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiConsumer;

/** The processes with hollow workers, as the run's main process sees them. */
final class WorkerFleet implements EmulatedCloud.MachineHost {
  private static final class Child {
    final int number;
    final Process process;
    final HistoryMerger.Source history;
    final BlockingQueue<String> commands = new LinkedBlockingQueue<>();
    final Map<String, Runnable> ending = new ConcurrentHashMap<>();
    volatile WorkerTraffic traffic = WorkerTraffic.NONE;
    volatile boolean alive = true;

    Child(int number, Process process, HistoryMerger.Source history) {
      this.number = number;
      this.process = process;
      this.history = history;
    }
  }

  private final List<Child> children = new ArrayList<>();
  private final Map<String, MachineId> machines = new ConcurrentHashMap<>();
  private final Map<String, Child> homes = new ConcurrentHashMap<>();
  private final Map<String, Integer> processes = new ConcurrentHashMap<>();
  private BiConsumer<Integer, List<String>> onDeath = (process, names) -> {};
  private int nextHome;

  /** Starts the processes; {@code first} is the line that each is sent first. */
  void start(
      ChildProcesses processes, EmulationConfig config, HistoryMerger merger, List<String> first)
      throws IOException {
    for (int i = 0; i < config.workerProcesses(); i++) {
      Process process = processes.startWorkers(i, config.workerHeapMb());
      Child child = new Child(i, process, merger.source());
      children.add(child);
      child.commands.add(first.get(i));
      daemon("to-workers-" + i, () -> write(child));
      daemon("from-workers-" + i, () -> read(child));
    }
  }

  /** Told when a process has ended, with the names of its machines. */
  void onDeath(BiConsumer<Integer, List<String>> listener) {
    onDeath = listener;
  }

  private static void daemon(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void write(Child child) {
    try (OutputStream out = child.process.getOutputStream()) {
      while (child.alive) {
        StringBuilder lines = new StringBuilder(child.commands.take()).append('\n');
        for (String more = child.commands.poll(); more != null; more = child.commands.poll()) {
          lines.append(more).append('\n');
        }
        out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
    } catch (IOException e) {
      // The process has ended: its reader says so.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void read(Child child) {
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(child.process.getInputStream(), StandardCharsets.US_ASCII))) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.endsWith(WorkerProcess.END_OF_LINE)) {
          take(child, line.substring(0, line.length() - WorkerProcess.END_OF_LINE.length()));
        }
      }
    } catch (IOException | WireException e) {
      if (child.alive) {
        System.err.println("emulation: worker process " + child.number + ": " + e.getMessage());
      }
    }
    died(child);
  }

  private void take(Child child, String line) throws WireException {
    switch (line.charAt(0)) {
      case 'w' -> child.history.toldUntil(Long.parseLong(line.substring(2)));
      case 't' -> child.traffic = WorkerTraffic.read(line.substring(2));
      case 'x' -> gone(child, line.substring(2));
      default -> child.history.add(HistoryEvent.read(line));
    }
  }

  private void gone(Child child, String machine) {
    homes.remove(machine);
    Runnable done = child.ending.remove(machine);
    if (done != null) {
      done.run();
    }
  }

  private void died(Child child) {
    child.alive = false;
    child.traffic = child.traffic.withoutWorkers();
    child.history.add(new HistoryEvent.ProcessDied(System.nanoTime(), child.number));
    child.history.end();
    List<String> names = new ArrayList<>();
    homes.forEach(
        (name, home) -> {
          if (home == child) {
            names.add(name);
          }
        });
    onDeath.accept(child.number, names);
    List.copyOf(child.ending.keySet()).forEach(machine -> gone(child, machine));
  }

  /** A machine that was ever up. */
  MachineId machine(String name) {
    return machines.get(name);
  }

  /** The process that a machine runs or ran in, -1 if it was never up. */
  int processOf(String machine) {
    return processes.getOrDefault(machine, -1);
  }

  @Override
  public void boot(MachineId machine) {
    for (int i = 0; i < children.size(); i++) {
      Child home = children.get(nextHome++ % children.size());
      if (home.alive) {
        machines.put(machine.name(), machine);
        processes.put(machine.name(), home.number);
        homes.put(machine.name(), home);
        home.commands.add(WorkerProcessMessage.boot(machine));
        return;
      }
    }
  }

  @Override
  public void end(String machine, Runnable gone) {
    Child home = homes.get(machine);
    if (home == null || !home.alive) {
      gone.run();
      return;
    }
    home.ending.put(machine, gone);
    home.commands.add(WorkerProcessMessage.end(machine));
    if (!home.alive) {
      gone(home, machine);
    }
  }

  /** Tells all machines of a job that is about to be submitted. */
  void publish(JobSpec job) {
    String line = WorkerProcessMessage.job(job);
    children.forEach(c -> c.commands.add(line));
  }

  /** Cuts a zone's machines off for so long. */
  void cut(String zone, long forMs) {
    children.forEach(c -> c.commands.add(WorkerProcessMessage.cut(zone, forMs)));
  }

  /** Ends a process with SIGKILL; false if there is none of this number any more. */
  boolean kill(int number) {
    if (number >= children.size() || !children.get(number).alive) {
      return false;
    }
    children.get(number).process.destroyForcibly();
    return true;
  }

  /** The process ids by name, of those that run. */
  Map<String, Long> pids() {
    Map<String, Long> pids = new LinkedHashMap<>();
    for (Child child : children) {
      if (child.alive) {
        pids.put("workers-" + child.number, child.process.pid());
      }
    }
    return pids;
  }

  /** Counters of all processes together. */
  WorkerTraffic traffic() {
    WorkerTraffic sum = WorkerTraffic.NONE;
    for (Child child : children) {
      sum = sum.plus(child.traffic);
    }
    return sum;
  }
}
