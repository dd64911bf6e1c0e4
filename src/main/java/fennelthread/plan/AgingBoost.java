package fennelthread.plan;

/** How far {@link Aging} moves a job's first task forward in the order of placement. */
public enum AgingBoost {
  /** Before all other work, on the part of the fleet that is set aside for aged jobs. */
  ABOVE_ALL,
  /** Before other work of the same priority: that part of the fleet is taken. */
  WITHIN_PRIORITY,
  /** The ordinary order. */
  NONE
}
