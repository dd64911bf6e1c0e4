package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.state.SizeLimits;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import java.util.Map;

/**
 * A validated submission.
 *
 * @param spec what the user submitted
 * @param records the records that will be written for it, by key
 * @param finalRecord null, or the job's final record if it is final as soon as it is accepted
 */
public record Submission(JobSpec spec, Map<String, Fields> records, FinalRecord finalRecord) {
  /** The state of the job once it is accepted. */
  public JobState initialState() {
    return finalRecord == null ? JobState.PENDING : finalRecord.state();
  }

  /** The size of the records in a transaction, bytes. */
  int bytes() {
    int bytes = 0;
    for (Fields record : records.values()) {
      bytes += SizeLimits.encodedBytes(record) + JobConstants.TXN_BYTES_PER_CHANGE;
    }
    return bytes;
  }
}
