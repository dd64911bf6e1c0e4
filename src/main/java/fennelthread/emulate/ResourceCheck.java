package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.settings.SettingsException;

/** Says before a run whether the machine has what it takes. */
final class ResourceCheck {
  /**
   * What a run takes at most.
   *
   * @param memoryMb heaps of all processes and what JVMs need beside them, MB
   * @param socketsPerProcess sockets of the process that holds most of them
   * @param sockets sockets of all processes
   * @param processes how many processes run
   */
  record Needs(long memoryMb, long socketsPerProcess, long sockets, int processes) {}

  private ResourceCheck() {}

  /** What a run of this configuration takes; the heap of this process holds so much at most. */
  static Needs needs(EmulationConfig config, long ownMostHeapMb) {
    long expectedMb =
        EmulationConstants.BASE_HEAP_MB
            + Math.round(config.workers() * EmulationConstants.HEAP_PER_MACHINE_MB);
    long ownHeapMb = Math.min(ownMostHeapMb, expectedMb);
    int processes = config.controllers() + config.workerProcesses() + 1;
    long memoryMb =
        ownHeapMb
            + (long) config.controllers() * config.controllerHeapMb()
            + (long) config.workerProcesses() * config.workerHeapMb()
            + (long) processes * EmulationConstants.JVM_OVERHEAD_MB;
    long machines = (long) config.workers() + config.spareMachines();
    // Each machine listens, reports on one connection and may be asked on others.
    long workerSockets = machines * EmulationConstants.SOCKETS_PER_MACHINE;
    long perProcess =
        Math.max(workerSockets / config.workerProcesses() + 64, config.maxConnections() + 64L);
    long all = workerSockets + config.controllers() * (config.maxConnections() + 64L);
    return new Needs(memoryMb, perProcess, all, processes);
  }

  /** Throws with one line if the machine has too little of something. */
  static void check(Needs needs, long mostDescriptors, long machineMb, long availableMb)
      throws SettingsException {
    if (needs.processes > EmulationConstants.MAX_PROCESSES) {
      throw new SettingsException(
          "this run takes "
              + needs.processes
              + " processes, more than "
              + EmulationConstants.MAX_PROCESSES);
    }
    if (mostDescriptors >= 0 && needs.socketsPerProcess > mostDescriptors) {
      throw new SettingsException(
          "ulimit -n is "
              + mostDescriptors
              + ", and one process of this run takes "
              + needs.socketsPerProcess
              + ": raise it, or set more worker-processes");
    }
    if (machineMb > 0 && needs.memoryMb > machineMb / 2) {
      throw new SettingsException(
          "this run takes up to "
              + needs.memoryMb
              + " MB, more than half of the machine's "
              + machineMb
              + " MB: lower the heaps (of this process with -Xmx)");
    }
    if (availableMb > 0 && needs.memoryMb > availableMb) {
      throw new SettingsException(
          "this run takes up to "
              + needs.memoryMb
              + " MB, and only "
              + availableMb
              + " MB of memory are free: lower the heaps (of this process with -Xmx)");
    }
  }
}
