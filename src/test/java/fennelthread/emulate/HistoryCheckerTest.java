package fennelthread.emulate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fennelthread.emulate.EmulatedCloud.MachineId;
import fennelthread.emulate.HistoryEvent.Known;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each rule is found broken, and what only looks like it is not. */
class HistoryCheckerTest {
  private static final MachineType TYPE =
      new MachineType("m", 4, 0, 16, 20, 1, 1, 0.5, 1, List.of("a", "b"));
  private static final Map<String, Settings.Team> TEAMS =
      Map.of("red", new Settings.Team("red", 0, 3, 0, 0));
  private static final long CANCEL_MS = 10_000;
  private static final long SECOND = 1_000_000_000L;

  private long now = SECOND;
  private final Set<String> told = new HashSet<>();
  private final HistoryChecker checker =
      new HistoryChecker(
          TEAMS,
          CANCEL_MS,
          name -> new MachineId(name, 0, "", TYPE, name.substring(0, 1), name.endsWith("s")),
          name -> name.startsWith("a") ? 0 : 1,
          0);

  /**
   * A story in words: {@code submit}, {@code start a1 0} (task 0 on machine a1 of zone a; a
   * machine's name that ends with s is a spot machine), {@code done a1 0}, {@code stop a1 0},
   * {@code dies 0} (a process), {@code told STATE}, {@code cancel}, {@code status N}, {@code
   * silence}, {@code wait S}.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "submit; start a1 0; stop a1 0; start b1 0|",
        "submit; start a1 0; start b1 0|ran_twice",
        "submit; start a1 0; dies 0; start b1 0|",
        "submit; start a1 0; dies 1; start b1 0|ran_twice",
        "submit; start a1 0; start a1 1; start a1 2|",
        "submit; start a1 0; start a1 1; start a1 2; start a1 3|quota",
        "submit; start a1 0; start a1 1; start a1 2; stop a1 1; start a1 3|",
        "submit; start a1s 0|wrong_place",
        "submit one-place; start a1 0; start b1 1|wrong_place",
        "submit one-place; start a1 0; stop a1 0; start b1 0|",
        "submit apart; start a1 0; start a1 1; start a2 2|wrong_place",
        "submit; told running; cancel; told withdrawn; start a1 0; stop a1 0; wait 20|",
        "submit; told running; start a1 0; cancel; told withdrawn; wait 9; stop a1 0; wait 9|",
        "submit; told running; start a1 0; cancel; told withdrawn; wait 11|ran_cancelled",
        "submit; told running; cancel; told withdrawn; wait 11; start a1 0|ran_cancelled",
        "submit; told pending; status 503; status 429|",
        "submit; told pending; status 404|forgotten",
        "submit; status 404; told pending|",
        "submit; told pending; silence; wait 89; status 503; told pending|",
        "submit; told pending; silence; wait 91; others; wait 1|forgotten",
        "submit; told pending; silence; wait 91|",
        "told running|invented",
        "start a1 0|invented",
        "submit; start a1 0; done a1 0; start a1 1; done a1 1; start a1 2; done a1 2; start a1 3;"
            + " told done|not_done",
        "submit; start a1 0; done a1 0; start a1 1; done a1 1; start a1 2; done a1 2; start a1 3;"
            + " done a1 3; told done|",
        "submit; start a1 0; done a1 0; start a1 1; done a1 1; start a1 2; done a1 2; start a1 3;"
            + " done a1 3; told done; told running|went_back",
        "submit; told running; cancel; told withdrawn; told pending|went_back",
        "submit; told withdrawn|went_back",
      })
  void findsEachRuleBroken(String story, String expected) {
    for (String step : story.split("; ", -1)) {
      take(step.split(" ", -1));
    }
    Set<String> rules = new TreeSet<>();
    checker.violations().forEach(v -> rules.add(v.rule()));
    assertEquals(expected == null ? Set.of() : Set.of(expected), rules);
  }

  private void take(String[] words) {
    now += SECOND / 100;
    switch (words[0]) {
      case "submit" -> submit(words.length > 1 ? words[1] : "");
      case "start" -> checker.accept(new HistoryEvent.Began(now, words[1], task(words[2]), 1));
      case "done" -> checker.accept(new HistoryEvent.Ended(now, words[1], task(words[2]), true));
      case "stop" -> checker.accept(new HistoryEvent.Ended(now, words[1], task(words[2]), false));
      case "dies" -> checker.accept(new HistoryEvent.ProcessDied(now, Integer.parseInt(words[1])));
      case "told" -> {
        checker.accept(new HistoryEvent.Told(now, "job-1", words[1], 0, known()));
        told.add(words[1]);
      }
      case "cancel" -> checker.accept(new HistoryEvent.AsksToCancel(now, "job-1"));
      case "status" ->
          checker.accept(
              new HistoryEvent.Refused(now, "job-1", Integer.parseInt(words[1]), known()));
      case "silence" -> checker.accept(new HistoryEvent.Unanswered(now, "job-1", known()));
      case "others" -> {
        checker.accept(new HistoryEvent.Submits(now, job("job-2", "")));
        checker.accept(
            new HistoryEvent.Told(now, "job-2", "pending", 0, new Known(false, false, false)));
      }
      case "wait" -> now += Long.parseLong(words[1]) * SECOND;
      default -> throw new IllegalArgumentException(words[0]);
    }
    checker.advanceTo(now);
  }

  private Known known() {
    return new Known(!told.isEmpty(), told.contains("done"), told.contains("withdrawn"));
  }

  private static TaskRef task(String index) {
    return new TaskRef("job-1", Integer.parseInt(index));
  }

  private void submit(String place) {
    checker.accept(new HistoryEvent.Submits(now, job("job-1", place)));
  }

  private static JobSpec job(String id, String place) {
    return JobSpec.builder(id)
        .jobClass("c")
        .team("red")
        .tasks(4)
        .cpus(1)
        .memGb(1)
        .image("i")
        .imageGb(1)
        .sameZone(place.equals("one-place"))
        .spreadAcrossZones(place.equals("apart"))
        .estimateS(1)
        .build();
  }
}
