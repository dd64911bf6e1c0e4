package fennelthread.cli;

import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.settings.SettingsException;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The options that name the two settings files; shared by several commands. */
final class SettingsFiles {
  @Option(names = "--config", paramLabel = "FILE.toml", description = "The platform's settings.")
  Path config;

  @Option(
      names = "--settings",
      paramLabel = "FILE.sexp",
      description = "The operators' own settings, an S-expression.")
  Path settings;

  /** Used by picocli, which then sets the fields. */
  SettingsFiles() {}

  SettingsFiles(Path config) {
    this.config = config;
  }

  Settings loadSettings() throws SettingsException {
    // Not a required option for picocli: it also belongs to the top-level command, so picocli would
    // demand it before every subcommand.
    if (config == null) {
      throw new SettingsException("--config FILE.toml is missing");
    }
    return Settings.load(config);
  }

  Options loadOptions() throws SettingsException {
    return settings == null ? Options.DEFAULTS : Options.load(settings);
  }
}
