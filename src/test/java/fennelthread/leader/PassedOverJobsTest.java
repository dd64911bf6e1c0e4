package fennelthread.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fennelthread.constants.LeaderConstants;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PassedOverJobsTest {
  private static final Set<String> JOB_IDS = Set.of("job-1");

  @Test
  void jobIsOverdueOnlyIfEveryRoundPassedItOver() {
    PassedOverJobs jobs = new PassedOverJobs();
    jobs.update(JOB_IDS, 0);
    jobs.update(JOB_IDS, LeaderConstants.MAX_PASSED_OVER_MS);
    assertEquals(Set.of(), jobs.overdue(LeaderConstants.MAX_PASSED_OVER_MS));
    assertEquals(JOB_IDS, jobs.overdue(LeaderConstants.MAX_PASSED_OVER_MS + 1));
    jobs.update(Set.of(), LeaderConstants.MAX_PASSED_OVER_MS + 2);
    jobs.update(JOB_IDS, LeaderConstants.MAX_PASSED_OVER_MS + 3);
    assertEquals(Set.of(), jobs.overdue(LeaderConstants.MAX_PASSED_OVER_MS + 4));
  }
}
