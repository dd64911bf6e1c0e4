package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/** One machine of the cloud's list, as old as the list is. */
public record MachineEntry(
    String name,
    String address,
    String type,
    String zone,
    boolean spot,
    String state,
    double ageS) {

  /** The state of a machine that is not up yet. */
  public static final String STARTING = "starting";

  /** The state of a machine that stopped by itself. */
  public static final String FAILED = "failed";

  /** Reads one page of {@code GET /hosts}. */
  public static List<MachineEntry> readAll(Fields body) throws WireException {
    List<MachineEntry> entries = new ArrayList<>();
    for (Fields f : body.maps("equipos")) {
      entries.add(
          new MachineEntry(
              f.text("name_id"),
              f.optText("address"),
              f.text("modelo"),
              f.text("zona"),
              f.optFlag("prestadas"),
              f.text("estado"),
              f.amount("held_s", 0)));
    }
    return entries;
  }
}
