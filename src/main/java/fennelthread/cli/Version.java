package fennelthread.cli;

import picocli.CommandLine;

/** Provides the version in the jar's manifest. */
final class Version implements CommandLine.IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = Version.class.getPackage().getImplementationVersion();
    return new String[] {"fennelthread " + (version == null ? "(unpackaged)" : version)};
  }
}
