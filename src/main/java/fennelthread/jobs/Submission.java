package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.state.SizeLimits;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import java.util.Map;

/**
 * A validated submission with its encoded records.
 *
 * @param spec what the user submitted
 * @param records the records that will be written for it, by key
 * @param finalRecord the job's final record if it is final as soon as it is accepted, otherwise
 *     null
 */
public record Submission(JobSpec spec, Map<String, Fields> records, FinalRecord finalRecord) {
  /** The state of the job once it is accepted. */
  public JobState initialState() {
    return finalRecord == null ? JobState.PENDING : finalRecord.state();
  }

  /**
   * The size that the records take in a transaction, bytes; an estimate that includes their keys
   * and conditions.
   */
  int bytes() {
    int bytes = 0;
    for (Fields record : records.values()) {
      bytes += SizeLimits.encodedBytes(record) + JobConstants.TXN_BYTES_PER_CHANGE;
    }
    return bytes;
  }
}
