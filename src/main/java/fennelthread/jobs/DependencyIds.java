package fennelthread.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Makes the live jobs that name the same job share one copy of its id: each record that is decoded
 * brings copies of its own, and many jobs may name the same thousand.
 */
final class DependencyIds {
  /** The shared copies of named ids whose jobs were not live when they were named. */
  private final Map<String, String> idsNotLive = new HashMap<>();

  /**
   * Returns the same ids as copies that other jobs share.
   *
   * @param liveId returns the copy that a live job holds of its own id, null if it is not live
   */
  List<String> share(List<String> ids, UnaryOperator<String> liveId) {
    List<String> shared = new ArrayList<>(ids.size());
    for (String id : ids) {
      String live = liveId.apply(id);
      shared.add(live != null ? live : idsNotLive.computeIfAbsent(id, key -> key));
    }
    return shared;
  }

  /**
   * Forgets ids that need no copy here, since their jobs are live or a job that named them ended.
   */
  void forget(List<String> ids) {
    ids.forEach(idsNotLive::remove);
  }
}
