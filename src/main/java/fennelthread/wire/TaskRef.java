package fennelthread.wire;

/** The id of a task, written as {@code job-000412/3}: its job's id and its index in the job. */
public record TaskRef(String job, int index) {

  /**
   * Parses a task id. The form of the job's id is not checked, since workers only repeat ids that
   * controllers sent.
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
