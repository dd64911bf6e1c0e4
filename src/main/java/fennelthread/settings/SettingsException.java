package fennelthread.settings;

/**
 * Thrown if a settings file or a command-line argument can't be used; the message names it, and the
 * field at fault, in one line.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message for operators. */
  public SettingsException(String message) {
    super(message);
  }
}
