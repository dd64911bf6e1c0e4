package fennelthread.fleet;

/** What the cloud rents and refuses by: a type of machine, in a zone, ordinary or spot. */
record MachineKind(String type, String zone, boolean spot) {}
