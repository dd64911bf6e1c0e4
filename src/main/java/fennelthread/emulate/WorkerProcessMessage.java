package fennelthread.emulate;

import fennelthread.emulate.EmulatedCloud.MachineId;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import fennelthread.wire.WireException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The commands to a process with hollow workers: JSON, one a line. */
final class WorkerProcessMessage {
  /** What is to be done. */
  enum Kind {
    /** A machine comes up. */
    BOOT,
    /** A machine is gone; the process answers when it is. */
    END,
    /** A user has submitted a job: its description. */
    JOB,
    /** A zone is cut off for a while. */
    CUT
  }

  private WorkerProcessMessage() {}

  private static String line(Fields fields) {
    return new String(Codec.JSON.encode(fields), StandardCharsets.UTF_8);
  }

  private static Fields of(Kind kind) {
    return Fields.create().with("do", kind.name().toLowerCase(Locale.ROOT));
  }

  static Kind kind(Fields message) throws WireException {
    return Kind.valueOf(message.text("do").toUpperCase(Locale.ROOT));
  }

  /** The first line. */
  static String start(List<HollowWorker.Member> members, Settings.WorkerTiming timing, long seed) {
    List<Object> list = new ArrayList<>();
    for (HollowWorker.Member member : members) {
      list.add(Fields.create().with("name", member.name()).with("address", member.address()).map());
    }
    return line(
        Fields.create()
            .with("members", list)
            .with("report_ms", timing.reportMs())
            .with("lease_ms", timing.leaseMs())
            .with("cancel_ms", timing.cancelMs())
            .with("seed", seed));
  }

  static String boot(MachineId machine) {
    return line(
        of(Kind.BOOT)
            .with("machine", machine.name())
            .with("number", machine.number())
            .with("address", machine.address())
            .with("type", MachineType.writeAll(List.of(machine.type())).map())
            .with("zone", machine.zone())
            .with("spot", machine.spot()));
  }

  static MachineId readMachine(Fields message) throws WireException {
    return new MachineId(
        message.text("machine"),
        (int) message.count("number"),
        message.text("address"),
        MachineType.readAll(message.inner("type")).get(0),
        message.text("zone"),
        message.flag("spot"));
  }

  static String end(String machine) {
    return line(of(Kind.END).with("machine", machine));
  }

  static String job(JobSpec job) {
    return line(of(Kind.JOB).with("job", job.write().map()));
  }

  static JobSpec readJob(Fields message) throws WireException {
    return JobSpec.read(message.inner("job"));
  }

  static String cut(String zone, long forMs) {
    return line(of(Kind.CUT).with("zone", zone).with("for_ms", forMs));
  }
}
