package fennelthread.cli;

import fennelthread.Controller;
import fennelthread.net.XnioEventLoop;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** The top-level command, which without a subcommand runs a controller. */
@Command(
    name = "fennelthread",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    description = "Runs a controller of the cluster scheduler until it is killed.",
    subcommands = {
      Serve.ServeCommand.class,
      Check.class,
      Submit.class,
      Status.class,
      Cancel.class,
      Cancel.FormerName.class,
      Train.class
    })
final class Serve implements Callable<Integer> {
  /** Returned instead of an exit code: the process must keep running. */
  static final int KEEP_RUNNING = -1;

  @Mixin private SettingsFiles files;

  @Override
  public Integer call() throws Exception {
    return serve(files);
  }

  /** Starts a controller with its event loop in threads that keep the process running. */
  static int serve(SettingsFiles files) throws Exception {
    Settings settings = files.loadSettings();
    Options options = files.loadOptions();
    LogOutput.install(settings.member());
    XnioEventLoop eventLoop = createEventLoop(settings);
    eventLoop.run(() -> start(eventLoop, settings, options));
    return KEEP_RUNNING;
  }

  /**
   * Creates the event loop for a controller. Connections to the state service, the cloud and peers
   * are essential: the limit on outbound connections does not apply to them.
   */
  static XnioEventLoop createEventLoop(Settings settings) throws IOException {
    Set<String> essential = new HashSet<>();
    essential.add(settings.stateAddr());
    essential.add(settings.cloudAddr());
    settings.peers().forEach(peer -> essential.add(peer.addr()));
    return new XnioEventLoop(
        settings.maxConnections(), settings.maxOutboundConnections(), essential);
  }

  /** Creates and starts a controller; must run on the event loop's thread. */
  static Controller start(XnioEventLoop eventLoop, Settings settings, Options options) {
    Controller controller = new Controller(eventLoop, settings, options);
    eventLoop.listen(
        settings.apiAddr(), controller.api(), settings.peerAddr(), controller.peerService());
    controller.start();
    return controller;
  }

  /** The same command as an explicit subcommand. */
  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      versionProvider = Version.class,
      description = "Runs a controller until it is killed (the default command).")
  static final class ServeCommand implements Callable<Integer> {
    @Mixin private SettingsFiles files;

    @Override
    public Integer call() throws Exception {
      return serve(files);
    }
  }
}
