package fennelthread.api;

import fennelthread.net.Answer;
import fennelthread.wire.WorkerReport;
import java.util.function.Consumer;

/** Answers the reports of workers. */
@FunctionalInterface
public interface ReportReceiver {
  /** Handles one report; the reply is made once, at once or later, on the same thread. */
  void handle(WorkerReport report, Consumer<Answer> reply);
}
