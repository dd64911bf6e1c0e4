package fennelthread.fleet;

import fennelthread.net.StallDetector;

/**
 * The ways in which a leader communicates with workers.
 *
 * @param transport carries requests to workers
 * @param responder builds the answers to workers' reports
 * @param stalls tells whether this process has just stalled, so that what workers sent meanwhile
 *     still waits to be read
 */
public record WorkerLink(
    CommandTransport transport, HeartbeatResponder responder, StallDetector stalls) {}
