package fennelthread.fleet;

/**
 * The kind of a machine: its type, its zone, and whether it is a spot instance. The cloud has or
 * lacks capacity for each kind separately.
 */
record MachineKind(String type, String zone, boolean spot) {

  /** Returns the kind of a machine; its type and zone are null if they are not known. */
  static MachineKind of(Machine machine) {
    return new MachineKind(machine.type(), machine.zone(), machine.isSpot());
  }
}
