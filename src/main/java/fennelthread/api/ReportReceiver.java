package fennelthread.api;

import fennelthread.net.Answer;
import fennelthread.wire.WorkerReport;
import java.util.function.Consumer;

/** Processes the reports of workers; called on the event loop's thread. */
@FunctionalInterface
public interface ReportReceiver {
  /**
   * Handles one report.
   *
   * @param reply called exactly once, during this call or later, on the same thread
   */
  void handle(WorkerReport report, Consumer<Answer> reply);
}
