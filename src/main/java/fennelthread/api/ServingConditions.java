package fennelthread.api;

import fennelthread.wire.MachineType;
import java.util.Map;

/** Conditions in the rest of the controller that decide whether a request can be served now. */
public interface ServingConditions {
  /** Returns true while the load balancer should send users to this controller. */
  boolean isUp();

  /** Returns true while some peer runs a version that ignores dependencies between jobs. */
  boolean isOutdatedPeerServing();

  /** Returns the machine types by name; empty while none are known. */
  Map<String, MachineType> machineTypes();
}
