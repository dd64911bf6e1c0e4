package fennelthread.constants;

/** Thresholds of the capacity tables. */
public final class CapacityConstants {
  /** Number of standard errors by which a slope must differ from zero to count as growth. */
  public static final double MIN_SLOPE_STANDARD_ERRORS = 3;

  /** Least coefficient of determination at which measured points count as a straight line. */
  public static final double MIN_LINE_R_SQUARED = 0.98;

  /**
   * A quantity whose measured values all stay at or below this counts as not growing; in the unit
   * of the quantity.
   */
  public static final double MIN_VISIBLE_VALUE = 1e-3;

  private CapacityConstants() {}
}
