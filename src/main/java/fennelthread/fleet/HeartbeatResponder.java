package fennelthread.fleet;

import fennelthread.net.Answer;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.List;

/**
 * Builds the answers to workers' reports. Each answer renews the worker's lease, so one place
 * decides for all senders whether answers may leave at all.
 */
public interface HeartbeatResponder {
  /** Returns true if reports may be answered at this moment. */
  boolean mayRespond();

  /**
   * Returns the answer to a report.
   *
   * @param token the fencing token that the worker is to obey
   * @param commands the commands that the sender wants carried out
   */
  Answer respond(WorkerReport report, long token, List<WorkerCommand> commands);
}
