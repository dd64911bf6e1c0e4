package fennelthread.state;

import java.util.List;

/**
 * One page of the keys with a common prefix, in the order of the keys.
 *
 * @param hasMore true if further keys with the prefix follow the last one of this page
 * @param revision the revision of the store at which the page was read
 */
public record KeyPage(List<KeyValue> items, boolean hasMore, long revision) {}
