package fennelthread.fleet;

import fennelthread.net.StallDetector;

/**
 * The collaborators through which a leader communicates with workers.
 *
 * @param transport carries requests to workers
 * @param responder builds the answers to workers' reports
 * @param stalls tells whether this process has just stalled, so that reports may still be unread
 */
public record WorkerLink(
    CommandTransport transport, HeartbeatResponder responder, StallDetector stalls) {}
