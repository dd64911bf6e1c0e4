package fennelthread.handover;

import fennelthread.constants.RelayConstants;
import fennelthread.constants.StateConstants;
import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.state.LeaseRevocation;
import fennelthread.state.StateClient;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Revokes a leader's lease at the state service through its peers, for a leader that steps down
 * because the state service refuses its requests but not those of its peers. It can't revoke the
 * lease itself, and without that no peer could claim the leadership before the lease expires. The
 * leader has stepped down before it asks, so it does no harm if the request takes long.
 */
public final class Handover {
  private static final Logger log = LoggerFactory.getLogger(Handover.class);
  private static final String PATH_PREFIX = "/handover/";
  private static final String REVOKE_PATH = PATH_PREFIX + "end";
  private static final String LEASE_ID_FIELD = "permiso";
  private static final String STATUS_FIELD = "status";

  private final StateClient state;
  private final PeerHeartbeats peers;

  /**
   * Creates the handover of one controller, and registers the service that peers send requests to.
   */
  public Handover(StateClient state, PeerHeartbeats peers) {
    this.state = state;
    this.peers = peers;
    peers.addService(PATH_PREFIX, this::handleRevocation);
  }

  private void handleRevocation(Request request, Consumer<Answer> reply) {
    try {
      long leaseId = Codec.JSON.decode(request.body()).count(LEASE_ID_FIELD);
      state.revokeLease(leaseId, revocation -> reply.accept(encode(revocation)));
    } catch (WireException e) {
      reply.accept(Answer.of(400, Codec.JSON, Fields.create().with("error", e.getMessage())));
    }
  }

  private static Answer encode(LeaseRevocation revocation) {
    return Answer.of(
        200, Codec.JSON, Fields.create().with(STATUS_FIELD, (long) revocation.status()));
  }

  /**
   * Asks all peers that can relay to revoke a lease under which this controller no longer leads.
   */
  public void revokeThroughPeers(long leaseId) {
    for (String member : peers.relayingMembers()) {
      peers.call(
          member,
          REVOKE_PATH,
          Fields.create().with(LEASE_ID_FIELD, leaseId),
          StateConstants.REQUEST_TIMEOUT_MS + RelayConstants.RELAY_HOP_MS,
          answer ->
              log.info(
                  "lease revocation through peer finished peer={} lease={} status={}",
                  member,
                  leaseId,
                  statusOf(answer)));
    }
  }

  private static String statusOf(Answer answer) {
    if (answer == null) {
      return "none";
    }
    try {
      return answer.status() == 200
          ? String.valueOf(answer.fields().count(STATUS_FIELD))
          : String.valueOf(answer.status());
    } catch (WireException e) {
      return "unreadable";
    }
  }
}
