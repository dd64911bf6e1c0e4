package fennelthread.simulation;

import fennelthread.simulation.TroubledDay.Event;
import fennelthread.simulation.TroubledDay.Occurrence;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A seeded day with an event and up to three troubles around it; written as a row of a test. */
record TripleCase(long seed, Event event, List<Occurrence> troubles) {
  private static final int MACHINES = 40;
  private static final int TROUBLES = 3;
  private static final Pattern OCCURRENCE =
      Pattern.compile("(.+) at (-?\\d+) for (\\d+) by ([0-9.]+)");
  private static final Pattern RULE = Pattern.compile("t=\\d+ (\\w+)");

  /** How a day failed: the rule that was broken, or the kind of error, and the whole message. */
  record Failure(String rule, String message) {
    static Failure of(Throwable error) {
      Matcher rule = RULE.matcher(String.valueOf(error.getMessage()));
      String name = rule.find() ? rule.group(1) : error.getClass().getSimpleName();
      return new Failure(name, error + at(error));
    }

    private static String at(Throwable error) {
      return error instanceof RuntimeException
          ? " at " + Arrays.asList(error.getStackTrace()).subList(0, 3)
          : "";
    }
  }

  // ---------------------------------------------------------------- drawing

  /** Draws an event, and three troubles with their times, lengths and strengths. */
  static TripleCase draw(long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    Event event = Event.values()[chance.nextInt(Event.values().length)];
    List<Occurrence> troubles = new ArrayList<>();
    for (int i = 0; i < TROUBLES; i++) {
      Troubles.Trouble trouble = Troubles.all().get(chance.nextInt(Troubles.all().size()));
      troubles.add(
          new Occurrence(
              trouble,
              drawOffset(chance),
              (long) drawLogarithmic(chance, trouble.lengthMs()),
              round(drawUniform(chance, trouble.strength()), 2)));
    }
    return new TripleCase(seed, event, troubles);
  }

  /** A third of the troubles begin at the very moment, a third near to it, a third around it. */
  private static long drawOffset(SplittableRandom chance) {
    return switch (chance.nextInt(3)) {
      case 0 -> chance.nextLong(-20, 21);
      case 1 -> chance.nextLong(-500, 1_001);
      default -> chance.nextLong(-2_500, 10_001);
    };
  }

  private static double drawUniform(SplittableRandom chance, Troubles.Range range) {
    return range.least() + chance.nextDouble() * (range.most() - range.least());
  }

  private static double drawLogarithmic(SplittableRandom chance, Troubles.Range range) {
    double share = chance.nextDouble();
    return range.least() <= 0
        ? range.least()
        : range.least() * Math.pow(range.most() / range.least(), share);
  }

  private static double round(double value, int digits) {
    double scale = Math.pow(10, digits);
    return Math.round(value * scale) / scale;
  }

  // ---------------------------------------------------------------- playing

  /** Plays the day; gives how it failed, or null. */
  Failure play() {
    try {
      TroubledDay.play(seed, MACHINES, event, troubles);
      return null;
    } catch (AssertionError | RuntimeException e) {
      return Failure.of(e);
    }
  }

  // ---------------------------------------------------------------- shortening

  /** The same case with other troubles. */
  private TripleCase with(List<Occurrence> others) {
    return new TripleCase(seed, event, List.copyOf(others));
  }

  private TripleCase with(int index, Occurrence other) {
    List<Occurrence> others = new ArrayList<>(troubles);
    others.set(index, other);
    return with(others);
  }

  /** Simpler cases, those that leave out most first: fewer troubles, shorter, at rounder times. */
  List<TripleCase> simpler() {
    List<TripleCase> cases = new ArrayList<>();
    for (int i = 0; i < troubles.size(); i++) {
      List<Occurrence> fewer = new ArrayList<>(troubles);
      fewer.remove(i);
      cases.add(with(fewer));
    }
    for (int i = 0; i < troubles.size(); i++) {
      for (Occurrence simpler : simpler(troubles.get(i))) {
        cases.add(with(i, simpler));
      }
    }
    return cases;
  }

  private static List<Occurrence> simpler(Occurrence o) {
    List<Occurrence> simpler = new ArrayList<>();
    long leastMs = (long) o.trouble().lengthMs().least();
    for (long lengthMs : new long[] {o.lengthMs() / 2, roundDown(o.lengthMs())}) {
      if (lengthMs >= leastMs && lengthMs < o.lengthMs()) {
        simpler.add(new Occurrence(o.trouble(), o.offsetMs(), lengthMs, o.strength()));
      }
    }
    for (long offsetMs : new long[] {0, roundDown(o.offsetMs())}) {
      if (Math.abs(offsetMs) < Math.abs(o.offsetMs())) {
        simpler.add(new Occurrence(o.trouble(), offsetMs, o.lengthMs(), o.strength()));
      }
    }
    if (round(o.strength(), 1) != o.strength()) {
      simpler.add(new Occurrence(o.trouble(), o.offsetMs(), o.lengthMs(), round(o.strength(), 1)));
    }
    return simpler;
  }

  /** The same number with one digit less that is not 0. */
  private static long roundDown(long number) {
    long unit = 1;
    while (number % (unit * 10) == 0 && number != 0) {
      unit *= 10;
    }
    return number / (unit * 10) * (unit * 10);
  }

  // ---------------------------------------------------------------- as text

  /** A row for {@link TripleSearchTest#replay}. */
  String row() {
    return String.format(
        "\"%d, %s, '%s'\"",
        seed,
        event,
        troubles.stream()
            .map(
                o ->
                    String.format(
                        Locale.ROOT,
                        "%s at %d for %d by %s",
                        o.trouble().name(),
                        o.offsetMs(),
                        o.lengthMs(),
                        o.strength()))
            .collect(Collectors.joining("; ")));
  }

  /** Reads what {@link #row} wrote, the seed and the event apart. */
  static TripleCase read(long seed, Event event, String troubles) {
    List<Occurrence> read = new ArrayList<>();
    for (String text : troubles.isEmpty() ? new String[0] : troubles.split("; ")) {
      Matcher m = OCCURRENCE.matcher(text);
      if (!m.matches()) {
        throw new IllegalArgumentException("not a trouble: " + text);
      }
      read.add(
          new Occurrence(
              Troubles.named(m.group(1)),
              Long.parseLong(m.group(2)),
              Long.parseLong(m.group(3)),
              Double.parseDouble(m.group(4))));
    }
    return new TripleCase(seed, event, read);
  }
}
