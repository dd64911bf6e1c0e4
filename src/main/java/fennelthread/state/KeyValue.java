package fennelthread.state;

import fennelthread.wire.Fields;

/**
 * A key that exists in the state service, with its value.
 *
 * @param revision the revision of the key's latest change
 * @param leaseId the lease that the key is bound to, 0 for none
 */
public record KeyValue(String key, Fields value, long revision, long leaseId) {}
