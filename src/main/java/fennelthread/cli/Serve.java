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

/** The program itself, and its default command: runs a controller. */
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
  /** Not an exit code: the program goes on. */
  static final int KEEP_RUNNING = -1;

  @Mixin private SettingsFiles files;

  @Override
  public Integer call() throws Exception {
    return serve(files);
  }

  static int serve(SettingsFiles files) throws Exception {
    Settings settings = files.loadSettings();
    Options options = files.loadOptions();
    LogOutput.install(settings.member());
    XnioEventLoop eventLoop = eventLoopFor(settings);
    eventLoop.run(() -> start(eventLoop, settings, options));
    return KEEP_RUNNING;
  }

  /** The machine below a controller with these settings. */
  static XnioEventLoop eventLoopFor(Settings settings) throws IOException {
    Set<String> essential = new HashSet<>();
    essential.add(settings.stateAddr());
    essential.add(settings.cloudAddr());
    settings.peers().forEach(s -> essential.add(s.addr()));
    return new XnioEventLoop(
        settings.maxConnections(), settings.maxOutboundConnections(), essential);
  }

  /** Sets a controller going; on the event loop's thread. */
  static Controller start(XnioEventLoop eventLoop, Settings settings, Options options) {
    Controller controller = new Controller(eventLoop, settings, options);
    eventLoop.listen(
        settings.apiAddr(), controller.api(), settings.peerAddr(), controller.peerService());
    controller.start();
    return controller;
  }

  /** The same under its own name. */
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
