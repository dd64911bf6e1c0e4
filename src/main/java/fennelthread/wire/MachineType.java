package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/** A machine type on offer. Prices are per hour. */
public record MachineType(
    String name,
    double cpus,
    double cards,
    double memGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  /** Reads the answer of {@code GET /machineTypes}. */
  public static List<MachineType> readAll(Fields body) throws WireException {
    List<MachineType> machineTypes = new ArrayList<>();
    for (Fields f : body.maps("modelos")) {
      List<String> zones = f.optTexts("zonas");
      machineTypes.add(
          new MachineType(
              f.text("label"),
              f.amount("cpus"),
              f.amount("cards", 0),
              f.amount("mem_gb"),
              f.amount("local_gb", 0),
              f.amount("pull_gb_per_s", 1),
              f.amount("hourly", 0),
              f.amount("low_price", 0),
              f.amount("startup_s", 0),
              zones == null ? List.of() : zones));
    }
    return machineTypes;
  }

  /** Writes a list of machineTypes in the same form. */
  public static Fields writeAll(List<MachineType> machineTypes) {
    List<Object> list = new ArrayList<>();
    for (MachineType f : machineTypes) {
      list.add(
          Fields.create()
              .with("label", f.name)
              .with("cpus", f.cpus)
              .with("cards", f.cards)
              .with("mem_gb", f.memGb)
              .with("local_gb", f.cacheGb)
              .with("pull_gb_per_s", f.fetchGbPerS)
              .with("hourly", f.price)
              .with("low_price", f.spotPrice)
              .with("startup_s", f.bootS)
              .with("zonas", f.zones)
              .map());
    }
    return Fields.create().with("modelos", list);
  }
}
