package fennelthread.simulation;

import fennelthread.capacity.LinearFit;
import fennelthread.capacity.Quantity;
import fennelthread.capacity.Slope;
import fennelthread.capacity.SlopeCatalogue;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Sizes of the messages that docs/scale-design.md has between cells and regions, as they would be
 * encoded. Nothing sends them yet.
 */
@EnabledIfSystemProperty(named = "slopes.file", matches = ".+")
class LinksTest {
  private static final Path FILE = Path.of(System.getProperty("slopes.file", "slopes.json"));
  private static final String SOURCE = System.getProperty("slopes.source", "unknown");
  private static final int[] TEAMS = {10, 50, 100, 170, 340};
  private static final double HEARTBEATS_PER_SECOND = 0.5;
  private static final int HEADERS = 230;

  private final SplittableRandom random = new SplittableRandom(1);

  @Test
  void sizes() throws IOException {
    SlopeCatalogue catalogue =
        Files.exists(FILE) ? SlopeCatalogue.load(FILE) : new SlopeCatalogue();
    List<LinearFit.Point> heartbeats = new ArrayList<>();
    List<LinearFit.Point> records = new ArrayList<>();
    List<LinearFit.Point> entries = new ArrayList<>();
    for (int teams : TEAMS) {
      int heartbeat = Codec.JSON.encode(heartbeat(teams)).length;
      int record = Codec.JSON.encode(allotments(teams)).length;
      heartbeats.add(new LinearFit.Point(teams, (heartbeat + HEADERS) * HEARTBEATS_PER_SECOND));
      records.add(new LinearFit.Point(teams, record));
      System.out.printf(
          "%d teams: heartbeat %d bytes, allotments %d bytes%n", teams, heartbeat, record);
    }
    int entry = Codec.JSON.encode(configuration()).length;
    for (int perSecond : new int[] {1, 5, 10, 20, 50, 100}) {
      // Entries of one heartbeat share its message.
      entries.add(new LinearFit.Point(perSecond, entry * (double) perSecond));
    }
    System.out.printf("a change of configuration: %d bytes%n", entry);
    catalogue.put(new Slope("link", "team", Quantity.TRAFFIC, heartbeats, ""), SOURCE);
    catalogue.put(new Slope("link", "config-change", Quantity.TRAFFIC, entries, ""), SOURCE);
    catalogue.put(new Slope("state", "team-and-cell", Quantity.STORED, records, ""), SOURCE);
    catalogue.save(FILE);
  }

  private Fields heartbeat(int teams) {
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < teams; i++) {
      list.add(List.of("equipo-" + i, random.nextInt(4_000), random.nextInt(4_000), 12.0));
    }
    return Fields.create()
        .with("region", "region-2")
        .with("cell", "celda-1")
        .with("epoch", 41L)
        .with("configuration", 7_700L)
        .with("workers", 1_000L)
        .with("cpus_free", 2_411.5)
        .with("waiting", 310L)
        .with("teams", list);
  }

  private Fields allotments(int teams) {
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < teams; i++) {
      list.add(List.of("equipo-" + i, random.nextInt(4_000), random.nextInt(64)));
    }
    return Fields.create()
        .with("cell", "celda-1")
        .with("transfer", 123_456L)
        .with("configuration", 7_700L)
        .with("teams", list);
  }

  private Fields configuration() {
    return Fields.create()
        .with("version", 7_700L)
        .with("region", "region-2")
        .with("by", "operador-17")
        .with("checked_by", "operador-3")
        .with("at_ms", 1_800_000_000_000L)
        .with(
            "change",
            Fields.create()
                .with("team", "equipo-117")
                .with("cpus", 1_200.0)
                .with("cpus_max", 4_000.0)
                .with("cards", 0.0)
                .with("cards_max", 0.0)
                .map());
  }
}
