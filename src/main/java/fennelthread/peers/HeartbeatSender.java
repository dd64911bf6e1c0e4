package fennelthread.peers;

/**
 * The state of the controller that sends a heartbeat, or answers one.
 *
 * @param member the controller's name
 * @param incarnation identifies its process: a restart changes it
 * @param epoch the highest epoch that it knows of; sending it acknowledges that epoch
 * @param leading true if it leads that epoch
 * @param servedAgoMs the time since the state service last served it, ms
 * @param reportingWorkers the number of workers whose reports it receives
 * @param workersUnreachable true if it leads and receives no reports from its workers directly
 */
public record HeartbeatSender(
    String member,
    String incarnation,
    long epoch,
    boolean leading,
    long servedAgoMs,
    long reportingWorkers,
    boolean workersUnreachable) {}
