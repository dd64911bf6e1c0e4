package fennelthread.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StartRecordKeysTest {
  private final StartRecordKeys keys = new StartRecordKeys(3);

  @Test
  void allocatedKeysAreNumberedWithinTheEpoch() {
    assertEquals("live/round/0000000003-00000001", keys.allocate());
    assertEquals("live/round/0000000003-00000002", keys.allocate());
  }

  @Test
  void onlyKeysOfTheEpochAreOwn() {
    assertTrue(keys.isOwn(keys.allocate()));
    assertFalse(keys.isOwn(new StartRecordKeys(2).allocate()));
  }

  @Test
  void keyThatWasFreeLongestIsReusedFirst() {
    String first = keys.allocate();
    String second = keys.allocate();
    keys.release(second);
    keys.release(first);
    keys.release(second);
    assertEquals(2, keys.freeCount());
    assertEquals(second, keys.takeFree());
    assertEquals(first, keys.takeFree());
    assertNull(keys.takeFree());
  }

  @Test
  void keyIsBeingWrittenUntilTheTransactionIsAnswered() {
    String key = keys.allocate();
    keys.markBeingWritten(key);
    assertTrue(keys.isBeingWritten(key));
    keys.clearBeingWritten();
    assertFalse(keys.isBeingWritten(key));
  }
}
