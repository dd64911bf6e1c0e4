package fennelthread.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import fennelthread.constants.LeaderConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import org.junit.jupiter.api.Test;

class EpochRecordTest {
  @Test
  void encodedFormHasTheStoredFieldNames() {
    assertEquals(
        Fields.create().with("epoch", 9L).with("keeps", true).with("unbounded", 4L),
        new EpochRecord(9, 4).encode());
  }

  @Test
  void decodedRecordEqualsEncodedOne() throws WireException {
    assertEquals(new EpochRecord(9, 4), EpochRecord.decode(new EpochRecord(9, 4).encode()));
  }

  @Test
  void epochOfALeaderThatDoesNotBoundItsAnswersIsUnbounded() throws WireException {
    assertEquals(new EpochRecord(9, 9), EpochRecord.decode(Fields.create().with("epoch", 9L)));
  }

  @Test
  void unreadableUnboundedEpochIsUnknown() throws WireException {
    Fields unreadable =
        Fields.create().with("epoch", 9L).with("keeps", true).with("unbounded", "x");
    assertEquals(new EpochRecord(9, LeaderConstants.UNKNOWN_EPOCH), EpochRecord.decode(unreadable));
  }

  @Test
  void recordWithoutEpochIsUnreadable() {
    assertThrows(WireException.class, () -> EpochRecord.decode(Fields.create()));
  }
}
