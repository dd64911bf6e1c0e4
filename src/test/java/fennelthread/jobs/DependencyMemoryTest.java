package fennelthread.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.LiveHeap;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What the dependencies among live jobs take of a controller's heap. */
class DependencyMemoryTest {
  private static final int DEPENDENCIES = 1_100;
  private static final int DEPENDANTS = 200;

  /** The most that one job's dependency on another may take, bytes. */
  private static final long MAX_BYTES_PER_EDGE = 64;

  private static JobSpec job(int number, List<String> dependencies) {
    return JobSpec.builder(id(number))
        .jobClass("batch")
        .team("red")
        .tasks(1)
        .cpus(1)
        .memGb(1)
        .image("img-01")
        .imageGb(1)
        .dependencies(dependencies)
        .build();
  }

  private static String id(int number) {
    return "job-%06d".formatted(number);
  }

  private static void addDependants(JobBacklog backlog, int firstNumber, List<String> dependencies)
      throws WireException {
    for (int i = 0; i < DEPENDANTS; i++) {
      backlog.add(job(firstNumber + i, dependencies));
    }
  }

  /**
   * Guards against controllers that all end for memory in a burst of jobs that name the same live
   * jobs; the names of the dependencies come before or after those of their dependants, as a load
   * reads them.
   */
  @Test
  void anEdgeTakesLittleMemoryHoweverManyJobsNameTheSameOnes() throws Exception {
    JobBacklog backlog = new JobBacklog();
    List<String> dependencies = IntStream.range(0, DEPENDENCIES).mapToObj(i -> id(i)).toList();
    long before = LiveHeap.bytes();
    addDependants(backlog, DEPENDENCIES, dependencies);
    long bytesPerEdge = (LiveHeap.bytes() - before) / (DEPENDENCIES * DEPENDANTS);
    for (int i = 0; i < DEPENDENCIES; i++) {
      backlog.add(job(i, List.of()));
    }
    assertTrue(bytesPerEdge <= MAX_BYTES_PER_EDGE, bytesPerEdge + " bytes");
    before = LiveHeap.bytes();
    addDependants(backlog, DEPENDENCIES + DEPENDANTS, dependencies);
    bytesPerEdge = (LiveHeap.bytes() - before) / (DEPENDENCIES * DEPENDANTS);
    assertTrue(bytesPerEdge <= MAX_BYTES_PER_EDGE, bytesPerEdge + " bytes");
    assertEquals(dependencies, backlog.graph().unmetDependencies(id(DEPENDENCIES)));
  }
}
