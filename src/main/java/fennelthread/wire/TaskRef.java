package fennelthread.wire;

/** A task's name on the wire: {@code job-000412/3}. */
public record TaskRef(String job, int index) {

  /**
   * Reads a name; the job part is not checked further, since workers repeat what they were told.
   */
  public static TaskRef parse(String text) throws WireException {
    int slash = text.lastIndexOf('/');
    if (slash <= 0) {
      throw new WireException("tarea", "is not of the form job-000412/3");
    }
    try {
      return new TaskRef(
          text.substring(0, slash), Integer.parseUnsignedInt(text, slash + 1, text.length(), 10));
    } catch (NumberFormatException e) {
      throw new WireException("tarea", "is not of the form job-000412/3");
    }
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }
}
