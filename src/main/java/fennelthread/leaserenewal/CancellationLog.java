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
 * The jobs that are known to be over since lately, and of those that users may have been told are
 * cancelled a numbered log for peers. Bounded by time: whoever was told longer ago than any task
 * may live on has nothing left to be stopped.
 */
public final class CancellationLog {
  private record Told(long number, String id, long atMs) {}

  private final EventLoop eventLoop;
  private final long rememberMs;
  private final Map<String, Long> over = new LinkedHashMap<>();
  private final Set<String> logged = new HashSet<>();
  private final ArrayDeque<Told> log = new ArrayDeque<>();
  private long last;

  /** Creates an empty memory; what is older than {@code rememberMs} is forgotten. */
  public CancellationLog(EventLoop eventLoop, long rememberMs) {
    this.eventLoop = eventLoop;
    this.rememberMs = rememberMs;
  }

  /** A job is over, done or cancelled: no task of it may run on. */
  public void over(String id) {
    over.putIfAbsent(id, eventLoop.nowMs());
    trim();
  }

  /** This controller knows that a job is cancelled: from now on it may tell users so. */
  public void mayTell(String id) {
    over(id);
    if (logged.add(id)) {
      log.add(new Told(++last, id, eventLoop.nowMs()));
    }
  }

  /** True if a job is known to be over. */
  public boolean isOver(String id) {
    return over.containsKey(id);
  }

  /**
   * What follows a number of the log: {@code to} is the last one's, {@code all} if there is no
   * more.
   */
  record Page(List<String> ids, long to, boolean all) {}

  /**
   * The log after a number, oldest first. Empty and not {@code all} if that number is not ours, or
   * if what follows it is no longer remembered.
   */
  Page after(long number) {
    long before = log.isEmpty() ? last : log.peek().number - 1;
    if (number > last || number < before) {
      return new Page(List.of(), last, false);
    }
    List<String> ids = new ArrayList<>();
    for (Told t : log) {
      if (t.number > number && ids.size() < LeaseRenewalConstants.CANCELLED_PER_HEARTBEAT) {
        ids.add(t.id);
      }
    }
    long to = number + ids.size();
    return new Page(ids, to, to == last);
  }

  private void trim() {
    long old = eventLoop.nowMs() - rememberMs;
    Iterator<Long> times = over.values().iterator();
    while (times.hasNext() && times.next() < old) {
      times.remove();
    }
    while (!log.isEmpty() && log.peek().atMs < old) {
      logged.remove(log.poll().id);
    }
  }
}
