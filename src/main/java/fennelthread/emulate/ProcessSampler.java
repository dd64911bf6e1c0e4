package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads what a process has used from {@code /proc}. */
final class ProcessSampler {
  /**
   * What a process has used.
   *
   * @param cpuS processor time so far, s
   * @param waitedS time so far in which its threads could have run and had no core, s
   * @param residentBytes memory at the moment
   * @param descriptors open files and sockets at the moment
   * @param readBytes bytes read so far, from sockets and files
   * @param writtenBytes bytes written so far, to sockets and files
   */
  record Usage(
      double cpuS,
      double waitedS,
      long residentBytes,
      int descriptors,
      long readBytes,
      long writtenBytes) {
    static final Usage NONE = new Usage(0, 0, 0, 0, 0, 0);
  }

  private ProcessSampler() {}

  /** The usage of a process; {@link Usage#NONE} if it has ended or can't be read. */
  static Usage sample(long pid) {
    Path base = Path.of("/proc", Long.toString(pid));
    try {
      String stat = Files.readString(base.resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
      double ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
      String[] memory = Files.readString(base.resolve("statm")).split(" ", -1);
      long read = 0;
      long written = 0;
      for (String line : Files.readAllLines(base.resolve("io"))) {
        long value = Long.parseLong(line.substring(line.indexOf(' ') + 1));
        read = line.startsWith("rchar") ? value : read;
        written = line.startsWith("wchar") ? value : written;
      }
      String[] descriptors = new File(base.toFile(), "fd").list();
      return new Usage(
          ticks / EmulationConstants.CLOCK_TICKS_PER_S,
          waitedS(base),
          Long.parseLong(memory[1]) * EmulationConstants.PAGE_BYTES,
          descriptors == null ? 0 : descriptors.length,
          read,
          written);
    } catch (IOException | RuntimeException e) {
      return Usage.NONE;
    }
  }

  private static double waitedS(Path base) throws IOException {
    long nanos = 0;
    String[] threads = new File(base.toFile(), "task").list();
    for (String thread : threads == null ? new String[0] : threads) {
      try {
        String stat = Files.readString(base.resolve("task").resolve(thread).resolve("schedstat"));
        nanos += Long.parseLong(stat.split(" ", -1)[1]);
      } catch (IOException e) {
        // The thread has ended since, or the system doesn't count this: it adds nothing.
      }
    }
    return nanos * 1e-9;
  }

  /** The load average of the last minute, or -1. */
  static double loadAverage() {
    try {
      return Double.parseDouble(Files.readString(Path.of("/proc/loadavg")).split(" ", -1)[0]);
    } catch (IOException | RuntimeException e) {
      return -1;
    }
  }

  /** A value of {@code /proc/meminfo}, bytes, or -1. */
  static long memory(String name) {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
        if (line.startsWith(name + ":")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
        }
      }
    } catch (IOException | RuntimeException e) {
      return -1;
    }
    return -1;
  }

  /** Files and sockets that this process may open, or -1 if that can't be read. */
  static long mostDescriptors() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
        if (line.startsWith("Max open files")) {
          String soft = line.substring("Max open files".length()).trim().split(" +", -1)[0];
          return soft.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(soft);
        }
      }
    } catch (IOException | RuntimeException e) {
      return -1;
    }
    return -1;
  }
}
