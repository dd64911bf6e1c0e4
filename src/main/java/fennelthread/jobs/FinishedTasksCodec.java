package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Encodes and decodes the finished tasks of a job. One record holds a chunk of {@link
 * JobConstants#TASKS_PER_CHUNK} tasks as a flat list of ranges: the first and the last task of
 * each, inclusive, relative to the chunk's first task.
 */
public final class FinishedTasksCodec {
  private FinishedTasksCodec() {}

  /**
   * Encodes the finished tasks of one chunk, as many ranges as fit into {@code maxBytes}; the tasks
   * that are encoded are added to {@code covered}.
   */
  public static Fields encode(int chunk, BitSet finished, int maxBytes, BitSet covered) {
    int base = chunk * JobConstants.TASKS_PER_CHUNK;
    int end = base + JobConstants.TASKS_PER_CHUNK;
    List<Object> ranges = new ArrayList<>();
    int bytesLeft = maxBytes - JobConstants.RECORD_BYTES_PER_ENTRY;
    for (int from = finished.nextSetBit(base); from >= 0 && from < end; ) {
      int to = Math.min(end, finished.nextClearBit(from));
      bytesLeft -= JobConstants.RANGE_BYTES;
      if (bytesLeft < 0) {
        break;
      }
      covered.set(from, to);
      ranges.add((long) (from - base));
      ranges.add((long) (to - 1 - base));
      from = finished.nextSetBit(to);
    }
    return Fields.create().with("r", ranges);
  }

  /**
   * Decodes one chunk's record and adds its tasks to {@code finished}; malformed ranges are
   * skipped.
   */
  static void decodeInto(BitSet finished, int chunk, Fields value) throws WireException {
    int base = chunk * JobConstants.TASKS_PER_CHUNK;
    List<?> ranges = value.list("r");
    for (int i = 0; i + 1 < ranges.size(); i += 2) {
      if (ranges.get(i) instanceof Long from
          && ranges.get(i + 1) instanceof Long to
          && 0 <= from
          && from <= to
          && to < JobConstants.TASKS_PER_CHUNK) {
        finished.set(base + from.intValue(), base + to.intValue() + 1);
      }
    }
  }
}
