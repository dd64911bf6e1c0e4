package fennelthread.fleet;

/**
 * The kind of a machine, by which the cloud rents and refuses: its type, its zone, and whether it
 * is a spot instance.
 */
record MachineKind(String type, String zone, boolean spot) {

  /** Returns the kind of a machine whose type, zone and kind are known. */
  static MachineKind of(Machine machine) {
    return new MachineKind(machine.type(), machine.zone(), machine.isSpot());
  }
}
