package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/**
 * A machine in the cloud's list, which lags behind the machines' actual state.
 *
 * @param address where its worker is reached; null if the cloud does not say
 * @param spot true if the cloud may reclaim it
 * @param ageS the age that the cloud states, seconds
 */
public record MachineEntry(
    String name,
    String address,
    String type,
    String zone,
    boolean spot,
    String state,
    double ageS) {

  /** The state of a machine that has not booted yet. */
  public static final String STARTING = "starting";

  /** The state of a machine that stopped without having been returned. */
  public static final String FAILED = "failed";

  /** Reads one page of {@code GET /hosts}. */
  public static List<MachineEntry> readAll(Fields body) throws WireException {
    List<MachineEntry> entries = new ArrayList<>();
    for (Fields machine : body.maps("equipos")) {
      entries.add(
          new MachineEntry(
              machine.text("name_id"),
              machine.optText("address"),
              machine.text("modelo"),
              machine.text("zona"),
              machine.optFlag("prestadas"),
              machine.text("estado"),
              machine.amount("held_s", 0)));
    }
    return entries;
  }
}
