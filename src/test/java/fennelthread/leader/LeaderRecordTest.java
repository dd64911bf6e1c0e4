package fennelthread.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaderRecordTest {
  private static final LeaderRecord RECORD = new LeaderRecord("c1", "ab12", 7, 31, true, 1_000);

  private static Fields stored() {
    return Fields.create()
        .with("member", "c1")
        .with("incarnation", "ab12")
        .with("epoch", 7L)
        .with("permiso", 31L)
        .with("promises", true)
        .with("at_ms", 1_000L);
  }

  @Test
  void encodedFormHasTheStoredFieldNames() {
    assertEquals(stored(), RECORD.encode());
  }

  @Test
  void storedFormIsDecodedToTheSameRecord() throws WireException {
    assertEquals(RECORD, LeaderRecord.decode(stored()));
  }

  @Test
  void recordOfAnOlderVersionHonorsNoPromises() throws WireException {
    Fields older =
        Fields.create()
            .with("member", "c1")
            .with("incarnation", "ab12")
            .with("epoch", 7L)
            .with("permiso", 31L);
    assertEquals(new LeaderRecord("c1", "ab12", 7, 31, false, 0), LeaderRecord.decode(older));
  }

  @ParameterizedTest
  @ValueSource(strings = {"member", "incarnation", "epoch", "permiso"})
  void recordThatLacksOneRequiredFieldIsUnreadable(String missing) {
    Fields incomplete = Fields.create();
    stored()
        .map()
        .forEach(
            (name, value) -> {
              if (!name.equals(missing)) {
                incomplete.with(name, value);
              }
            });
    WireException error = assertThrows(WireException.class, () -> LeaderRecord.decode(incomplete));
    assertTrue(error.getMessage().contains(missing), error.getMessage());
  }
}
