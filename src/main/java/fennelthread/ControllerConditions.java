package fennelthread;

import fennelthread.api.ServingConditions;
import fennelthread.control.MachineTypes;
import fennelthread.control.StateServiceCheck;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.state.Replica;
import fennelthread.wire.MachineType;
import java.util.Map;

/** The conditions under which the user API serves requests, read from the other subsystems. */
final class ControllerConditions implements ServingConditions {
  private final Replica replica;
  private final StateServiceCheck stateServiceCheck;
  private final PeerHeartbeats peers;
  private final MachineTypes machineTypes;

  ControllerConditions(
      Replica replica,
      StateServiceCheck stateServiceCheck,
      PeerHeartbeats peers,
      MachineTypes machineTypes) {
    this.replica = replica;
    this.stateServiceCheck = stateServiceCheck;
    this.peers = peers;
    this.machineTypes = machineTypes;
  }

  @Override
  public boolean isUp() {
    return replica.isReady() && !stateServiceCheck.isRefusedOnlyHere();
  }

  @Override
  public boolean isOutdatedPeerServing() {
    return peers.hasHeardOutdatedPeer();
  }

  @Override
  public Map<String, MachineType> machineTypes() {
    return machineTypes.byName();
  }
}
