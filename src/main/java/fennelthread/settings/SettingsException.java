package fennelthread.settings;

/** A settings file that can't be used; the message names file and field in one line. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public SettingsException(String message) {
    super(message);
  }
}
