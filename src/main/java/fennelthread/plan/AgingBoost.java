package fennelthread.plan;

/** How far {@link Aging} moves a job's first task forward in the order of placement. */
public enum AgingBoost {
  /** Before all other work, within the share of the fleet that aged jobs may take. */
  ABOVE_ALL,
  /**
   * Before other work of the same priority only: the share of the fleet that aged jobs may take is
   * used up.
   */
  WITHIN_PRIORITY,
  /** No boost: the usual order of placement. */
  NONE
}
