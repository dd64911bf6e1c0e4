package fennelthread.leader;

import fennelthread.wire.MachineType;
import java.util.List;
import java.util.Map;

/** The machine types that the cloud offers, as this controller knows them. */
public interface MachineTypeCatalog {
  /** The types by name; empty while none are known. */
  Map<String, MachineType> byName();

  /** Replaces the types by what the cloud has listed, and stores them for all controllers. */
  void replaceAndStore(List<MachineType> types);
}
