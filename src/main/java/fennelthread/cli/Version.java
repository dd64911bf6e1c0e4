package fennelthread.cli;

import picocli.CommandLine;

/** The version in the jar's manifest. */
final class Version implements CommandLine.IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = Version.class.getPackage().getImplementationVersion();
    return new String[] {"fennelthread " + (version == null ? "(unpackaged)" : version)};
  }
}
