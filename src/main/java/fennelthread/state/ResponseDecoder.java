package fennelthread.state;

import fennelthread.constants.StateConstants;
import fennelthread.net.Answer;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decodes the state service's answers. A malformed answer is logged and treated like a missing one,
 * except that a conflict still counts as a transaction that was not applied. An answer is null if
 * there was none in time.
 */
final class ResponseDecoder {
  private static final Logger log = LoggerFactory.getLogger(ResponseDecoder.class);

  private interface BodyDecoder<T> {
    T decode(Fields body) throws WireException;
  }

  private ResponseDecoder() {}

  /** Decodes the answer to the read of one key. */
  static ReadResult readResult(String key, Answer answer) {
    boolean isAbsent = answer != null && answer.status() == 404;
    Optional<ReadResult> result =
        isAbsent
            ? decode(answer, body -> new ReadResult.Absent(body.count("asiento", 0)))
            : decode(answer, body -> new ReadResult.Found(keyValue(key, body)));
    return result.orElseGet(ReadResult.Unavailable::new);
  }

  /** Decodes a page of keys; empty if there is no valid answer. */
  static Optional<KeyPage> keyPage(Answer answer) {
    return decode(
        answer,
        body -> {
          List<KeyValue> items = new ArrayList<>();
          for (Fields item : body.maps("items")) {
            items.add(keyValue(item.text("key"), item));
          }
          return new KeyPage(items, body.optFlag("more"), body.count("asiento"));
        });
  }

  /** Decodes the answer to a watch. */
  static WatchResult watchResult(Answer answer) {
    if (answer != null && answer.status() == 410) {
      return new WatchResult.Compacted();
    }
    Optional<WatchResult> result =
        decode(
            answer,
            body -> {
              List<KeyChange> changes = new ArrayList<>();
              for (Fields item : body.maps("log")) {
                changes.add(keyChange(item));
              }
              return new WatchResult.Changes(changes, body.count("asiento"));
            });
    return result.orElseGet(WatchResult.Unavailable::new);
  }

  /** Decodes the answer to a transaction. */
  static TxnResult txnResult(Answer answer) {
    if (answer == null) {
      return new TxnResult.Unknown();
    }
    return switch (answer.status()) {
      case 200 -> {
        Optional<TxnResult> applied =
            decode(answer, body -> new TxnResult.Applied(body.count("asiento")));
        yield applied.orElseGet(TxnResult.Unknown::new);
      }
      case 409 -> {
        Optional<TxnResult> conflict =
            decode(answer, body -> new TxnResult.Conflict(textsOrNone(body, "failed")));
        yield conflict.orElseGet(() -> new TxnResult.Refused("conflict with malformed answer"));
      }
      case 400 -> new TxnResult.TooLarge();
      case 429, 503 -> new TxnResult.Refused("status " + answer.status());
      default -> new TxnResult.Unknown();
    };
  }

  /** Decodes the answer to a request for a lease. */
  static LeaseGrant leaseGrant(Answer answer) {
    long leaseId = decode(answer, body -> body.count("permiso")).orElse(0L);
    return leaseId == 0 ? new LeaseGrant.Failed() : new LeaseGrant.Granted(leaseId);
  }

  /** Decodes the answer to the renewal of a lease. */
  static LeaseRenewalResult leaseRenewal(Answer answer) {
    if (answer == null) {
      return LeaseRenewalResult.UNCONFIRMED;
    }
    return switch (answer.status()) {
      case 200 -> LeaseRenewalResult.RENEWED;
      case 404 -> LeaseRenewalResult.EXPIRED;
      default -> LeaseRenewalResult.UNCONFIRMED;
    };
  }

  /** Decodes the answer to the revocation of a lease. */
  static LeaseRevocation leaseRevocation(Answer answer) {
    return new LeaseRevocation(answer == null ? StateConstants.NO_ANSWER_STATUS : answer.status());
  }

  private static KeyValue keyValue(String key, Fields item) throws WireException {
    return new KeyValue(key, item.inner("v"), item.count("edicion"), item.count("permiso", 0));
  }

  private static KeyChange keyChange(Fields item) throws WireException {
    return item.has("remove")
        ? new KeyChange.Delete(item.text("remove"), item.count("edicion"))
        : new KeyChange.Put(item.text("write"), item.inner("v"), item.count("edicion"));
  }

  private static List<String> textsOrNone(Fields body, String field) throws WireException {
    List<String> texts = body.optTexts(field);
    return texts == null ? List.of() : texts;
  }

  private static <T> Optional<T> decode(Answer answer, BodyDecoder<T> decoder) {
    if (answer == null || !hasBody(answer.status())) {
      return Optional.empty();
    }
    try {
      return Optional.of(decoder.decode(answer.fields()));
    } catch (WireException e) {
      log.info("state service answer malformed reason={}", e.getMessage());
      return Optional.empty();
    }
  }

  private static boolean hasBody(int status) {
    return status == 200 || status == 201 || status == 404 || status == 409;
  }
}
