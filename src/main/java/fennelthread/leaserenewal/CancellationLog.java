package fennelthread.leaserenewal;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.net.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The jobs that are known to have ended recently, and a numbered log of those whose cancellation
 * this controller may have disclosed to users. Peers read the log through heartbeats. Entries
 * expire after the retention time: by then no task of the job may still run. Used on the event
 * loop's thread only.
 */
public final class CancellationLog {
  private record Cancellation(long number, String jobId, long loggedAtMs) {}

  /**
   * A part of the log, oldest entry first.
   *
   * @param lastNumber the number of the last entry in the page, or in the log if the entries asked
   *     for are not available
   * @param complete true if no entries follow
   */
  record Page(List<String> jobIds, long lastNumber, boolean complete) {
    /** Returns the page for messages that answer no request for entries. */
    static Page none() {
      return new Page(List.of(), 0, false);
    }
  }

  private final EventLoop eventLoop;
  private final long retentionMs;
  private final Map<String, Long> endedAtMsById = new LinkedHashMap<>();
  private final Set<String> loggedIds = new HashSet<>();
  private final ArrayDeque<Cancellation> entries = new ArrayDeque<>();
  private long lastNumber;

  /** Creates an empty log whose entries expire after {@code retentionMs}, ms. */
  public CancellationLog(EventLoop eventLoop, long retentionMs) {
    this.eventLoop = eventLoop;
    this.retentionMs = retentionMs;
  }

  /** Records that a job has completed or was cancelled: none of its tasks may run any longer. */
  public void recordEnded(String jobId) {
    endedAtMsById.putIfAbsent(jobId, eventLoop.nowMs());
    expireOldEntries();
  }

  /** Records a cancellation that this controller may disclose to users from now on. */
  public void recordDisclosable(String jobId) {
    recordEnded(jobId);
    if (loggedIds.add(jobId)) {
      entries.add(new Cancellation(++lastNumber, jobId, eventLoop.nowMs()));
    }
  }

  /** True if a job is known to have ended. */
  public boolean hasEnded(String jobId) {
    return endedAtMsById.containsKey(jobId);
  }

  /**
   * Returns the entries after a number, at most {@link
   * LeaseRenewalConstants#CANCELLATIONS_PER_HEARTBEAT}. The page is empty and not complete if this
   * log has no such number, or if entries that follow it have expired.
   */
  Page entriesAfter(long number) {
    long lastExpired = entries.isEmpty() ? lastNumber : entries.peek().number - 1;
    if (number > lastNumber || number < lastExpired) {
      return new Page(List.of(), lastNumber, false);
    }
    List<String> jobIds = new ArrayList<>();
    for (Cancellation entry : entries) {
      if (entry.number > number
          && jobIds.size() < LeaseRenewalConstants.CANCELLATIONS_PER_HEARTBEAT) {
        jobIds.add(entry.jobId);
      }
    }
    long pageEnd = number + jobIds.size();
    return new Page(jobIds, pageEnd, pageEnd == lastNumber);
  }

  private void expireOldEntries() {
    long expiredBeforeMs = eventLoop.nowMs() - retentionMs;
    Iterator<Long> endTimes = endedAtMsById.values().iterator();
    while (endTimes.hasNext() && endTimes.next() < expiredBeforeMs) {
      endTimes.remove();
    }
    while (!entries.isEmpty() && entries.peek().loggedAtMs < expiredBeforeMs) {
      loggedIds.remove(entries.poll().jobId);
    }
  }
}
