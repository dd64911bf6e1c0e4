package fennelthread;

import fennelthread.api.ServingConditions;
import fennelthread.control.MachineTypes;
import fennelthread.control.StateServiceCheck;
import fennelthread.health.MemoryPressureMonitor;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.state.Replica;
import fennelthread.wire.MachineType;
import java.util.Map;

/** The conditions under which the user API serves requests, read from the other subsystems. */
final class ControllerConditions implements ServingConditions {
  private final Replica replica;
  private final StateServiceCheck stateServiceCheck;
  private final PeerHeartbeats peers;
  private final MemoryPressureMonitor memory;
  private final MachineTypes machineTypes;

  ControllerConditions(
      Replica replica,
      StateServiceCheck stateServiceCheck,
      PeerHeartbeats peers,
      MemoryPressureMonitor memory,
      MachineTypes machineTypes) {
    this.replica = replica;
    this.stateServiceCheck = stateServiceCheck;
    this.peers = peers;
    this.memory = memory;
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
  public boolean isMemoryShort() {
    return memory.isUnderPressure();
  }

  @Override
  public Map<String, MachineType> machineTypes() {
    return machineTypes.byName();
  }
}
