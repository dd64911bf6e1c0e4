package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.MachineEntry;
import fennelthread.wire.MachineType;
import fennelthread.wire.Rental;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the cloud's HTTP interface. All callbacks run on the event loop's thread; an empty
 * Optional means that no usable answer arrived.
 */
public final class CloudClient {
  private static final Logger log = LoggerFactory.getLogger(CloudClient.class);

  /** The result of a rental request. */
  public sealed interface RentalResult {
    /** These machines were rented, perhaps fewer than requested. */
    record Rented(List<String> names) implements RentalResult {}

    /** The cloud has no capacity for this kind of machine. */
    record NoCapacity() implements RentalResult {}

    /** The request may have been executed, or may still be; it can be repeated under its name. */
    record OutcomeUnknown() implements RentalResult {}
  }

  /** The result of a return request. */
  public enum ReturnResult {
    /** The machines and everything on them are gone. */
    CONFIRMED,
    /** The request was not executed. */
    REFUSED,
    /** The request may have been executed, or may still be. */
    UNKNOWN
  }

  private final EventLoop eventLoop;
  private final String address;
  private long backOffUntilMs;

  /** Creates a client of the cloud whose address the settings name. */
  public CloudClient(EventLoop eventLoop, Settings settings) {
    this.eventLoop = eventLoop;
    this.address = settings.cloudAddr();
  }

  /**
   * Returns true for {@link FleetConstants#CLOUD_BACKOFF_MS} after the cloud has rejected a request
   * because of load or a fault.
   */
  public boolean isBackingOff() {
    return eventLoop.nowMs() < backOffUntilMs;
  }

  /** Fetches the machine types with their prices. */
  public void fetchMachineTypes(Consumer<Optional<List<MachineType>>> done) {
    call(Call.get("/flavors"), answer -> done.accept(readMachineTypes(answer)));
  }

  private static Optional<List<MachineType>> readMachineTypes(Answer answer) {
    if (!isOk(answer)) {
      return Optional.empty();
    }
    try {
      return Optional.of(MachineType.readAll(answer.fields()));
    } catch (WireException e) {
      log.info("cloud answer malformed request=machineTypes error=\"{}\"", e.getMessage());
      return Optional.empty();
    }
  }

  /** Fetches the whole machine list, page by page. */
  public void listMachines(Consumer<Optional<List<MachineEntry>>> done) {
    fetchPage(null, new ArrayList<>(), done);
  }

  private void fetchPage(
      String afterName, List<MachineEntry> entries, Consumer<Optional<List<MachineEntry>>> done) {
    String since = afterName == null ? "" : "since=" + afterName + "&";
    call(
        Call.get("/hosts?" + since + "most=500"),
        answer -> {
          if (!isOk(answer)) {
            done.accept(Optional.empty());
            return;
          }
          try {
            Fields body = answer.fields();
            List<MachineEntry> page = MachineEntry.readAll(body);
            entries.addAll(page);
            if (body.optFlag("more") && !page.isEmpty()) {
              fetchPage(page.get(page.size() - 1).name(), entries, done);
            } else {
              done.accept(Optional.of(entries));
            }
          } catch (WireException e) {
            log.info("cloud answer malformed request=machineList error=\"{}\"", e.getMessage());
            done.accept(Optional.empty());
          }
        });
  }

  /** Rents machines. A request that is repeated under its name rents them only once. */
  public void rentMachines(Rental rental, Consumer<RentalResult> done) {
    call(
        Call.post("/hosts", Codec.CBOR, rental.write()),
        answer -> done.accept(readRentalResult(answer)));
  }

  private RentalResult readRentalResult(Answer answer) {
    try {
      if (isOk(answer)) {
        return new RentalResult.Rented(Rental.readNames(answer.fields()));
      }
      if (answer != null
          && answer.status() == 503
          && "no capacity".equals(answer.fields().optText("error"))) {
        // This rejection is not because of load, so other kinds may be requested at once.
        backOffUntilMs = 0;
        return new RentalResult.NoCapacity();
      }
    } catch (WireException e) {
      log.info("cloud answer malformed request=rental error=\"{}\"", e.getMessage());
    }
    return new RentalResult.OutcomeUnknown();
  }

  /** Returns machines to the cloud; the request can be repeated. */
  public void returnMachines(List<String> names, Consumer<ReturnResult> done) {
    call(
        Call.post("/hosts/return", Codec.CBOR, Rental.writeNames(names)),
        answer -> done.accept(returnResultOf(answer)));
  }

  private static ReturnResult returnResultOf(Answer answer) {
    if (isOk(answer)) {
      return ReturnResult.CONFIRMED;
    }
    return isRejected(answer) ? ReturnResult.REFUSED : ReturnResult.UNKNOWN;
  }

  private static boolean isOk(Answer answer) {
    return answer != null && answer.status() == 200;
  }

  /**
   * Returns true if the cloud has not executed a request because of load, a fault or lack of
   * capacity.
   */
  private static boolean isRejected(Answer answer) {
    return answer != null && (answer.status() == 429 || answer.status() == 503);
  }

  private void call(Call call, Consumer<Answer> done) {
    eventLoop.call(
        address,
        call,
        FleetConstants.CLOUD_TIMEOUT_MS,
        answer -> {
          if (isRejected(answer)) {
            backOffUntilMs = eventLoop.nowMs() + FleetConstants.CLOUD_BACKOFF_MS;
          }
          done.accept(answer);
        });
  }
}
