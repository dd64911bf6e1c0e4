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
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Speaks to the cloud. A null answer stands for no usable answer. */
public final class Cloud {
  private static final Logger log = LoggerFactory.getLogger(Cloud.class);

  /** What became of a rental. */
  public sealed interface Rented {
    /** Rented: these machines. */
    record Machines(List<String> names) implements Rented {}

    /** Nothing to be had of this type, zone and kind. */
    record NoCapacity() implements Rented {}

    /** Nothing is known; the same request can be sent again. */
    record Unknown() implements Rented {}
  }

  private final EventLoop eventLoop;
  private final String address;
  private long backOffUntilMs;

  /** Creates a client. */
  public Cloud(EventLoop eventLoop, Settings settings) {
    this.eventLoop = eventLoop;
    this.address = settings.cloudAddr();
  }

  /** True while the cloud has asked us to slow down or is in trouble. */
  public boolean isBackingOff() {
    return eventLoop.nowMs() < backOffUntilMs;
  }

  /** Reads types and prices. */
  public void machineTypes(Consumer<List<MachineType>> done) {
    call(
        Call.get("/flavors"),
        answer -> {
          try {
            done.accept(ok(answer) ? MachineType.readAll(answer.fields()) : null);
          } catch (WireException e) {
            log.info("malformed types: {}", e.getMessage());
            done.accept(null);
          }
        });
  }

  /** Reads the whole machine list. */
  public void list(Consumer<List<MachineEntry>> done) {
    page(null, new ArrayList<>(), done);
  }

  private void page(String since, List<MachineEntry> sofar, Consumer<List<MachineEntry>> done) {
    call(
        Call.get("/hosts?" + (since == null ? "" : "since=" + since + "&") + "most=500"),
        answer -> {
          try {
            if (!ok(answer)) {
              done.accept(null);
              return;
            }
            Fields body = answer.fields();
            List<MachineEntry> entries = MachineEntry.readAll(body);
            sofar.addAll(entries);
            if (body.optFlag("more") && !entries.isEmpty()) {
              page(entries.get(entries.size() - 1).name(), sofar, done);
            } else {
              done.accept(sofar);
            }
          } catch (WireException e) {
            log.info("malformed machine list: {}", e.getMessage());
            done.accept(null);
          }
        });
  }

  /** Rents machines under a name that is never used for anything else. */
  public void rent(Rental rental, Consumer<Rented> done) {
    call(
        Call.post("/hosts", Codec.CBOR, rental.write()),
        answer -> {
          try {
            if (ok(answer)) {
              done.accept(new Rented.Machines(Rental.readNames(answer.fields())));
              return;
            }
            if (answer != null
                && answer.status() == 503
                && "no capacity".equals(answer.fields().optText("error"))) {
              backOffUntilMs = 0;
              done.accept(new Rented.NoCapacity());
              return;
            }
          } catch (WireException e) {
            log.info("malformed rental answer: {}", e.getMessage());
          }
          done.accept(new Rented.Unknown());
        });
  }

  /** What became of a return. */
  public enum Returned {
    /** The machines and everything on them are gone. */
    GONE,
    /** Not executed. */
    REFUSED,
    /** May have been executed, or may still be. */
    UNKNOWN
  }

  /** Returns machines. */
  public void returnMachines(List<String> names, Consumer<Returned> done) {
    call(
        Call.post("/hosts/return", Codec.CBOR, Rental.writeNames(names)),
        answer ->
            done.accept(
                ok(answer)
                    ? Returned.GONE
                    : answer != null && (answer.status() == 429 || answer.status() == 503)
                        ? Returned.REFUSED
                        : Returned.UNKNOWN));
  }

  private static boolean ok(Answer answer) {
    return answer != null && answer.status() == 200;
  }

  private void call(Call call, Consumer<Answer> done) {
    eventLoop.call(
        address,
        call,
        FleetConstants.CLOUD_TIMEOUT_MS,
        answer -> {
          if (answer != null && (answer.status() == 429 || answer.status() == 503)) {
            backOffUntilMs = eventLoop.nowMs() + 1_000;
          }
          done.accept(answer);
        });
  }
}
