package fennelthread.cli;

import fennelthread.leaserenewal.RenewalBounds;
import fennelthread.settings.Settings;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Validates settings without starting anything. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    description = "Checks both settings files and ends; exit code 2 if one can't be used.")
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
    long shortMs = RenewalBounds.shortfallMs(settings.workers());
    if (shortMs > 0) {
      System.out.printf(
          "%s: cancel_s of %.1f s leaves too little room beside lease_s of %.1f s: a cut-off task may outlive its"
              + " withdrawal by %.1f s%n",
          files.config,
          settings.workers().cancelMs() / 1000.0,
          settings.workers().leaseMs() / 1000.0,
          shortMs / 1000.0);
    }
    return 0;
  }
}
