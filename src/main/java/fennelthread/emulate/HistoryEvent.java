package fennelthread.emulate;

import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WireException;

/**
 * Something that happened on a machine or between users and controllers, at a moment of the steady
 * clock, which is the same in all processes of one machine.
 */
sealed interface HistoryEvent {
  /** When it happened, ns of {@link System#nanoTime}. */
  long nanos();

  /** What happened on machines; these come from other processes as lines of text. */
  sealed interface OnMachine extends HistoryEvent {
    /** The line of text. */
    String line();
  }

  /** A start was taken by a machine. */
  record Began(long nanos, String machine, TaskRef task, long attempt) implements OnMachine {
    @Override
    public String line() {
      return "b " + nanos + " " + machine + " " + task + " " + attempt;
    }
  }

  /** A task has its image and runs. */
  record Running(long nanos, String machine, TaskRef task) implements OnMachine {
    @Override
    public String line() {
      return "r " + nanos + " " + machine + " " + task;
    }
  }

  /** A task is no longer on a machine. */
  record Ended(long nanos, String machine, TaskRef task, boolean completed) implements OnMachine {
    @Override
    public String line() {
      return (completed ? "d " : "e ") + nanos + " " + machine + " " + task;
    }
  }

  /** All machines of a process died with it. */
  record ProcessDied(long nanos, int process) implements HistoryEvent {}

  /** A user is about to submit a job for the first time. */
  record Submits(long nanos, JobSpec job) implements HistoryEvent {}

  /** A user is about to ask for a job to be cancelled. */
  record AsksToCancel(long nanos, String job) implements HistoryEvent {}

  /** What a user knew of a job when a request was sent: answers to earlier ones may be older. */
  record Known(boolean accepted, boolean done, boolean cancelled) {}

  /** A user was told a job's state. */
  record Told(long nanos, String job, String state, long done, Known before)
      implements HistoryEvent {}

  /** A user's request about a job was answered with a status that says no. */
  record Refused(long nanos, String job, int status, Known before) implements HistoryEvent {}

  /** A user's request about a job got no answer, or one that says to come again. */
  record Unanswered(long nanos, String job, Known before) implements HistoryEvent {}

  /** Reads a line that {@link OnMachine#line} has written. */
  static OnMachine read(String line) throws WireException {
    String[] words = line.split(" ", -1);
    try {
      long nanos = Long.parseLong(words[1]);
      TaskRef task = TaskRef.parse(words[3]);
      return switch (words[0]) {
        case "b" -> new Began(nanos, words[2], task, Long.parseLong(words[4]));
        case "r" -> new Running(nanos, words[2], task);
        case "d" -> new Ended(nanos, words[2], task, true);
        case "e" -> new Ended(nanos, words[2], task, false);
        default -> throw new WireException("line", "is of no known kind: " + line);
      };
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      throw new WireException("line", "can't be read: " + line);
    }
  }
}
