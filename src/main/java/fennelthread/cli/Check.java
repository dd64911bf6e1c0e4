package fennelthread.cli;

import fennelthread.leaserenewal.RenewalBounds;
import fennelthread.settings.Settings;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** The command that validates the settings files without starting a controller. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    description = "Validates both settings files; exit code 2 if one is invalid.")
final class Check implements Callable<Integer> {
  @Mixin private SettingsFiles files;

  @Override
  public Integer call() throws Exception {
    Settings settings = files.loadSettings();
    files.loadOptions();
    System.out.printf(
        "%s: %s of %d controllers, %d teams, %d objectives: ok%n",
        files.config,
        settings.member(),
        settings.peers().size() + 1,
        settings.teams().size(),
        settings.objectives().size());
    long shortfallMs = RenewalBounds.shortfallMs(settings.workers());
    if (shortfallMs > 0) {
      System.out.printf(
          "%s: cancel_s of %.1f s is too short for lease_s of %.1f s: a task of a cancelled job may"
              + " run up to %.1f s beyond cancel_s on a machine that is cut off%n",
          files.config,
          settings.workers().cancelMs() / 1000.0,
          settings.workers().leaseMs() / 1000.0,
          shortfallMs / 1000.0);
    }
    return 0;
  }
}
