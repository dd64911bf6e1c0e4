package fennelthread.constants;

/** Constants of the tables of capacity; each with its unit and its reason. */
public final class CapacityConstants {
  /** Standard errors by which a slope must differ from nothing to count as growth. */
  public static final double MIN_SLOPE_STANDARD_ERRORS = 3;

  /** Share of the variance from which on measured points count as a line. */
  public static final double MIN_LINE_R_SQUARED = 0.98;

  /** Values below this are taken for nothing in the tables of capacity, in their unit. */
  public static final double MIN_VISIBLE_SLOPE = 1e-3;

  private CapacityConstants() {}
}
