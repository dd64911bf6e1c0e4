package fennelthread.handover;

import fennelthread.constants.RelayConstants;
import fennelthread.constants.StateConstants;
import fennelthread.net.Answer;
import fennelthread.net.Service;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.state.StateClient;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What controllers do for one another when leadership passes on. A leader that the state service
 * refuses alone can't end its own grant, and nobody could claim until that runs out; a peer ends it
 * instead. The leader has dropped its local lease before it asks, so that the request may take as
 * long as it likes.
 */
public final class Handover {
  private static final Logger log = LoggerFactory.getLogger(Handover.class);
  private static final String END = "/handover/end";

  private final PeerHeartbeats peers;

  /** Creates it, and answers peers that ask. */
  public Handover(StateClient state, PeerHeartbeats peers) {
    this.peers = peers;
    Service service =
        (request, reply) -> {
          try {
            long leaseId = Codec.JSON.decode(request.body()).count("permiso");
            state.revokeLease(
                leaseId,
                revocation ->
                    reply.accept(
                        Answer.of(
                            200,
                            Codec.JSON,
                            Fields.create().with("status", (long) revocation.status()))));
          } catch (WireException e) {
            reply.accept(Answer.of(400, Codec.JSON, Fields.create().with("error", e.getMessage())));
          }
        };
    peers.serve("/handover/", service);
  }

  /** Has peers end a grant of ours whose lease we have dropped. */
  public void endThroughPeers(long leaseId) {
    for (String member : peers.relays()) {
      peers.call(
          member,
          END,
          Fields.create().with("permiso", leaseId),
          StateConstants.REQUEST_TIMEOUT_MS + RelayConstants.RELAY_SLACK_MS,
          answer ->
              log.info(
                  "{} was asked to end our grant: {}",
                  member,
                  answer == null ? "no answer" : "status " + statusOf(answer)));
    }
  }

  private static String statusOf(Answer answer) {
    try {
      return answer.status() == 200
          ? String.valueOf(answer.fields().count("status"))
          : String.valueOf(answer.status());
    } catch (WireException e) {
      return "unreadable";
    }
  }
}
