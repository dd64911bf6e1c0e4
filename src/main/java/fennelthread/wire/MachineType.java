package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/**
 * A machine type that the cloud offers. Prices are per hour.
 *
 * @param cards GPUs of a machine
 * @param cacheGb the size of the image cache, GB
 * @param fetchGbPerS the rate at which images are fetched, GB/s
 * @param bootS the nominal boot time, seconds
 * @param zones the zones that offer it; empty if the cloud does not say
 */
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

  /** Reads the cloud's answer with the offered types. */
  public static List<MachineType> readAll(Fields body) throws WireException {
    List<MachineType> machineTypes = new ArrayList<>();
    for (Fields entry : body.maps("modelos")) {
      List<String> zones = entry.optTexts("zonas");
      machineTypes.add(
          new MachineType(
              entry.text("label"),
              entry.amount("cpus"),
              entry.amount("cards", 0),
              entry.amount("mem_gb"),
              entry.amount("local_gb", 0),
              entry.amount("pull_gb_per_s", 1),
              entry.amount("hourly", 0),
              entry.amount("low_price", 0),
              entry.amount("startup_s", 0),
              zones == null ? List.of() : zones));
    }
    return machineTypes;
  }

  /** Writes a list of machine types in the same form. */
  public static Fields writeAll(List<MachineType> machineTypes) {
    List<Object> list = new ArrayList<>();
    for (MachineType type : machineTypes) {
      list.add(
          Fields.create()
              .with("label", type.name)
              .with("cpus", type.cpus)
              .with("cards", type.cards)
              .with("mem_gb", type.memGb)
              .with("local_gb", type.cacheGb)
              .with("pull_gb_per_s", type.fetchGbPerS)
              .with("hourly", type.price)
              .with("low_price", type.spotPrice)
              .with("startup_s", type.bootS)
              .with("zonas", type.zones)
              .map());
    }
    return Fields.create().with("modelos", list);
  }
}
