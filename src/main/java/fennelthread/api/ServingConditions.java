package fennelthread.api;

import fennelthread.wire.MachineType;
import java.util.Map;

/** What the rest of the controller knows that decides whether requests can be served now. */
public interface ServingConditions {
  /** True while the load balancer should send users here. */
  boolean isUp();

  /** True while a peer serves whose version does not know dependencies between jobs. */
  boolean isOutdatedPeerServing();

  /** True while there is no memory for more jobs. */
  boolean isMemoryShort();

  /** The machine types by name; empty while none are known. */
  Map<String, MachineType> machineTypes();
}
