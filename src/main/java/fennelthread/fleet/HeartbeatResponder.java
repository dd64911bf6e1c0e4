package fennelthread.fleet;

import fennelthread.net.Answer;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.List;

/**
 * Builds the answers to workers' reports. Each answer renews the worker's lease, so a single
 * implementation decides for all callers whether reports may be answered at all.
 */
public interface HeartbeatResponder {
  /** Returns true if reports may be answered now by a controller that is otherwise entitled to. */
  boolean mayRespond();

  /**
   * Returns the answer to a report.
   *
   * @param token the fencing token that the answer carries
   * @param commands the commands that the caller wants executed
   */
  Answer respond(WorkerReport report, long token, List<WorkerCommand> commands);
}
