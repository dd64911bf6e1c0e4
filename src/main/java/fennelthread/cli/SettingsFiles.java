package fennelthread.cli;

import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.settings.SettingsException;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The two settings files, as options that several commands share. */
final class SettingsFiles {
  @Option(names = "--config", paramLabel = "FILE.toml", description = "The platform's settings.")
  Path config;

  @Option(
      names = "--settings",
      paramLabel = "FILE.sexp",
      description = "The operators' own settings, an S-expression.")
  Path settings;

  /** For picocli, which fills the fields in. */
  SettingsFiles() {}

  SettingsFiles(Path config) {
    this.config = config;
  }

  Settings loadSettings() throws SettingsException {
    // Not marked as required: the option also stands at the program's top level, where picocli
    // would ask for it before every subcommand.
    if (config == null) {
      throw new SettingsException("--config FILE.toml is missing");
    }
    return Settings.load(config);
  }

  Options loadOptions() throws SettingsException {
    return settings == null ? Options.DEFAULTS : Options.load(settings);
  }
}
