package fennelthread.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fennelthread.constants.LeaderConstants;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PassedOverJobsTest {
  private static final Set<String> A = Set.of("job-1");

  @Test
  void countsOnlyWithoutAPause() {
    PassedOverJobs jobs = new PassedOverJobs();
    jobs.update(A, 0);
    jobs.update(A, LeaderConstants.MAX_PASSED_OVER_MS);
    assertEquals(Set.of(), jobs.overdue(LeaderConstants.MAX_PASSED_OVER_MS));
    assertEquals(A, jobs.overdue(LeaderConstants.MAX_PASSED_OVER_MS + 1));
    jobs.update(Set.of(), LeaderConstants.MAX_PASSED_OVER_MS + 2);
    jobs.update(A, LeaderConstants.MAX_PASSED_OVER_MS + 3);
    assertEquals(Set.of(), jobs.overdue(LeaderConstants.MAX_PASSED_OVER_MS + 4));
  }
}
