package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.state.Limits;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import java.util.Map;

/**
 * A checked submission with the records that will be written for it; {@code end} is not null if it
 * is over as soon as it is accepted.
 */
public record Submission(JobSpec spec, Map<String, Fields> records, FinalRecord end) {
  int bytes() {
    int bytes = 0;
    for (Fields record : records.values()) {
      bytes += Limits.bytes(record) + JobConstants.TXN_BYTES_PER_CHANGE;
    }
    return bytes;
  }
}
