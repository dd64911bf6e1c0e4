package fennelthread.emulate;

import fennelthread.emulate.EmulationConfig.Fault;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Makes things go wrong at their times. Runs on the state service's loop. */
final class FaultInjector {
  /** A fault that was carried out. */
  record Done(double atS, String what) {}

  private final SelectorLoop loop;
  private final ControllerFleet controllers;
  private final WorkerFleet workers;
  private final EmulatedStateService state;
  private final EmulatedCloud cloud;
  private final List<Done> done = Collections.synchronizedList(new ArrayList<>());
  private long beganMs;

  FaultInjector(
      SelectorLoop loop,
      ControllerFleet controllers,
      WorkerFleet workers,
      EmulatedStateService state,
      EmulatedCloud cloud) {
    this.loop = loop;
    this.controllers = controllers;
    this.workers = workers;
    this.state = state;
    this.cloud = cloud;
  }

  /** Sets all faults up, those that begin at or after {@code untilMs} apart. */
  void schedule(List<Fault> faults, long untilMs) {
    beganMs = SelectorLoop.nowMs();
    for (Fault fault : faults) {
      long atMs = fault.atMs();
      do {
        if (atMs < untilMs) {
          loop.after(atMs, () -> inject(fault));
        }
        atMs += fault.everyMs();
      } while (fault.everyMs() > 0 && atMs < untilMs);
    }
  }

  /** What was carried out so far. */
  List<Done> done() {
    synchronized (done) {
      return List.copyOf(done);
    }
  }

  private void inject(Fault fault) {
    try {
      switch (fault.kind()) {
        case KILL_CONTROLLER -> killController(fault);
        case PAUSE_CONTROLLER -> pauseController(fault);
        case KILL_WORKERS -> {
          if (workers.kill(Integer.parseInt(fault.target()))) {
            enter(fault, "process " + fault.target());
          }
        }
        case CUT_ZONE -> {
          workers.cut(fault.target(), fault.forMs());
          enter(fault, fault.target());
        }
        case STATE_OUT -> {
          state.outage(fault.forMs());
          enter(fault, "");
        }
        case STATE_REFUSE -> {
          int member = member(fault);
          if (member >= 0) {
            state.refuse(member, fault.forMs());
            enter(fault, ControllerFleet.name(member));
          }
        }
        case STATE_SLOW -> {
          state.slow(fault.extraMs(), fault.forMs());
          enter(fault, "");
        }
        case CLOUD_OUT -> {
          cloud.outage(fault.forMs());
          enter(fault, "");
        }
      }
    } catch (IOException e) {
      System.err.println("emulation: a fault failed: " + e);
    }
  }

  private void enter(Fault fault, String target) {
    String what = fault.kind().word + (target.isEmpty() ? "" : " " + target);
    done.add(new Done((SelectorLoop.nowMs() - beganMs) / 1000.0, what));
  }

  private void killController(Fault fault) {
    int member = member(fault);
    if (member < 0) {
      return;
    }
    controllers.kill(member);
    enter(fault, ControllerFleet.name(member));
    loop.after(
        fault.forMs(),
        () -> {
          try {
            controllers.restart(member);
          } catch (IOException e) {
            System.err.println("emulation: a controller was not started again: " + e);
          }
        });
  }

  private void pauseController(Fault fault) throws IOException {
    int member = member(fault);
    if (member < 0) {
      return;
    }
    Process process = controllers.process(member);
    ChildProcesses.signal(process, "STOP");
    enter(fault, ControllerFleet.name(member));
    loop.after(
        fault.forMs(),
        () -> {
          try {
            ChildProcesses.signal(process, "CONT");
          } catch (IOException e) {
            System.err.println("emulation: a controller was not continued: " + e);
          }
        });
  }

  /** The controller that a fault is meant for, or -1 if nobody leads. */
  private int member(Fault fault) {
    String leader = state.leader.member();
    int leading = leader == null ? -1 : controllers.indexOf(leader);
    return switch (fault.target()) {
      case "leader" -> leading;
      case "follower" -> leading < 0 ? -1 : (leading + 1) % controllers.size();
      default -> Integer.parseInt(fault.target());
    };
  }
}
