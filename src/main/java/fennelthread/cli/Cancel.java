package fennelthread.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** The command that cancels a job. */
@Command(
    name = "cancel",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    description = "Cancels a job: its tasks are stopped and no more are started.")
class Cancel implements Callable<Integer> {
  @Mixin private Client client;

  @Parameters(paramLabel = "ID", description = "The job's id, such as job-000412.")
  private String id;

  @Override
  public Integer call() throws Exception {
    return client.send("POST", Client.jobPath(id) + "/withdraw", new byte[0]);
  }

  /** The command's former name, which existing scripts use. */
  @Command(name = "withdraw", hidden = true)
  static final class FormerName extends Cancel {}
}
