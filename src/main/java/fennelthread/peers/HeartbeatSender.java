package fennelthread.peers;

/**
 * What a controller says of itself in a heartbeat.
 *
 * @param member the controller's name
 * @param incarnation identifies its process: a restart changes it
 * @param epoch the highest epoch that it knows of; saying so acknowledges it
 * @param leading true if it leads that epoch
 * @param servedAgoMs the time since the state service last served it, ms
 * @param reportsReceived the number of workers whose reports it receives
 * @param workersUnreachable true of a leader that receives no reports from its workers itself
 */
public record HeartbeatSender(
    String member,
    String incarnation,
    long epoch,
    boolean leading,
    long servedAgoMs,
    long reportsReceived,
    boolean workersUnreachable) {}
