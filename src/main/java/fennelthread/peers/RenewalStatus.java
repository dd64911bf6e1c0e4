package fennelthread.peers;

import fennelthread.constants.PeerConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.List;

/**
 * The part of a heartbeat, or of its answer, about the renewal of workers' leases by followers in
 * place of a silent leader.
 *
 * @param receiverHeard in a heartbeat: true if the sender has lately heard from the receiver
 * @param logPosition in a heartbeat: the number of the last entry of the receiver's log of
 *     cancellations that the sender has
 * @param abstainingForEpoch in an answer: the epoch whose leader is promised that the sender renews
 *     no lease in its place for a while; 0 for none
 * @param cancelledJobIds in an answer: the entries of the sender's log that follow the position
 *     asked for; none if that log does not have them all
 * @param lastNumber in an answer: the number of the last of these entries, or of the log's last
 *     entry if the log does not have them all
 * @param complete in an answer: true if these are the last entries of the log
 * @param renewing true if the sender renews leases in place of a silent leader
 * @param renewedAgoMs the time since it last did so, ms; {@link PeerConstants#NEVER_RENEWED} if it
 *     never did
 */
public record RenewalStatus(
    boolean receiverHeard,
    long logPosition,
    long abstainingForEpoch,
    List<String> cancelledJobIds,
    long lastNumber,
    boolean complete,
    boolean renewing,
    long renewedAgoMs) {

  Fields write() {
    Fields fields =
        Fields.create()
            .with("hears", receiverHeard)
            .with("after", logPosition)
            .with("still", abstainingForEpoch)
            .with("withdrawn", cancelledJobIds)
            .with("to", lastNumber)
            .with("all", complete)
            .with("keeping", renewing);
    return renewedAgoMs == PeerConstants.NEVER_RENEWED
        ? fields
        : fields.with("kept_ms_ago", renewedAgoMs);
  }

  static RenewalStatus read(Fields fields) throws WireException {
    return new RenewalStatus(
        fields.optFlag("hears"),
        fields.count("after", 0),
        fields.count("still", 0),
        fields.optTexts("withdrawn") == null ? List.of() : fields.optTexts("withdrawn"),
        fields.count("to", 0),
        fields.optFlag("all"),
        fields.optFlag("keeping"),
        fields.has("kept_ms_ago") ? fields.count("kept_ms_ago") : PeerConstants.NEVER_RENEWED);
  }
}
