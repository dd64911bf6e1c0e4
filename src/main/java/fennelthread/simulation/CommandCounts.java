package fennelthread.simulation;

import fennelthread.constants.ProtocolConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerCommand;

/** Counts commands that a worker was sent, by what became of them. */
final class CommandCounts {
  /** Number of starts that came in direct commands; copies of those could be executed later. */
  int directRuns;

  /** Number of starts that were dropped for a token lower than the highest one seen. */
  int staleRuns;

  /** Number of direct commands refused for a token lower than the highest one seen. */
  int staleCommands;

  /** Number of those whose token is from an earlier leader than the highest one seen. */
  int commandsOfEarlierLeaders;

  /** Records the answer to a report. */
  void recordAnswer(Fields body, long highestToken) throws WireException {
    if (body.count("ficha", 0) < highestToken) {
      staleRuns += countRuns(body);
    }
  }

  /** Records a direct command. */
  void recordCommand(Fields body, long highestToken) throws WireException {
    directRuns += countRuns(body);
    if (body.count("ficha") >= highestToken) {
      return;
    }
    staleCommands++;
    staleRuns += countRuns(body);
    boolean isOfEarlierLeader =
        body.count("ficha") >> ProtocolConstants.TOKEN_BITS
            < highestToken >> ProtocolConstants.TOKEN_BITS;
    commandsOfEarlierLeaders += isOfEarlierLeader ? 1 : 0;
  }

  /** The number of starts among the commands of a body. */
  static int countRuns(Fields body) throws WireException {
    return (int)
        WorkerCommand.read(body).stream().filter(WorkerCommand.Run.class::isInstance).count();
  }
}
