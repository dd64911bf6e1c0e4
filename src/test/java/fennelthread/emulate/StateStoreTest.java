package fennelthread.emulate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.EmulationConstants;
import fennelthread.settings.Settings;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The stored records keep to the protocol. */
class StateStoreTest {
  private final StateStore store = new StateStore(new Settings.StateLimits(100, 100, 1024, 2));

  /** A transaction in the protocol's form. */
  private static final class Transaction {
    final List<Object> conditions = new ArrayList<>();
    final List<Object> operations = new ArrayList<>();
    final Fields body = Fields.create().with("when", conditions).with("then", operations);

    Transaction when(String key, long revision) {
      conditions.add(Fields.create().with("key", key).with("edicion", revision).map());
      return this;
    }

    Transaction write(String key, Fields value) {
      return writeBound(key, value, 0);
    }

    Transaction writeBound(String key, Fields value, long lease) {
      Object bound = lease == 0 ? null : (Object) lease;
      operations.add(
          Fields.create().with("write", key).with("v", value.map()).with("permiso", bound).map());
      return this;
    }
  }

  private static Fields value(Object text) {
    return Fields.create().with("text", text);
  }

  @Test
  void writesOnlyWhatItsConditionsAllow() throws WireException {
    Transaction create = new Transaction().when("a", 0).write("a", value("first"));
    assertTrue(store.commit(create.body).applied());
    StateStore.Outcome repeated = store.commit(create.body);
    assertEquals(List.of("a"), repeated.failed());
    assertEquals(1, store.revision());
    assertTrue(
        store.commit(new Transaction().when("a", 1).write("a", value("next")).body).applied());
    assertEquals("next", store.get("a").value().text("text"));
  }

  @Test
  void refusesWhatIsTooLarge() {
    Transaction three =
        new Transaction().write("a", value(1)).write("b", value(1)).write("c", value(1));
    assertThrows(WireException.class, () -> store.commit(three.body));
    Transaction large = new Transaction().write("a", value("x".repeat(2000)));
    assertThrows(WireException.class, () -> store.commit(large.body));
    assertEquals(0, store.size());
  }

  @Test
  void keysEndWithTheirLease() throws WireException {
    long lease = store.grant(100, 1_000);
    store.commit(new Transaction().writeBound("bound", value(1), lease).body);
    store.commit(new Transaction().writeBound("freed", value(1), lease).body);
    store.commit(new Transaction().write("freed", value(2)).body);
    assertTrue(store.extend(lease, 1_050));
    assertFalse(store.expireLeases(1_150));
    assertTrue(store.expireLeases(1_151));
    assertNull(store.get("bound"));
    assertEquals("freed", store.after("", "").firstKey());
    assertFalse(store.extend(lease, 1_151));
    Transaction late = new Transaction().writeBound("bound", value(1), lease);
    assertThrows(WireException.class, () -> store.commit(late.body));
    List<StateStore.Change> changes = store.changesAfter(3, "b");
    assertEquals(1, changes.size());
    assertNull(changes.get(0).value());
  }

  @Test
  void listsWhatComesAfterAKey() throws WireException {
    for (String key : List.of("a/1", "a/2", "a/3", "b/1")) {
      store.commit(new Transaction().write(key, value(1)).body);
    }
    assertEquals(List.of("a/1", "a/2", "a/3"), List.copyOf(store.after("a/", "").keySet()));
    assertEquals(List.of("a/3"), List.copyOf(store.after("a/", "a/2").keySet()));
  }

  @Test
  void forgetsOldChangesAndSaysSo() throws WireException {
    for (int i = 0; i < 2 * EmulationConstants.MIN_CHANGES_KEPT + 1; i++) {
      store.commit(new Transaction().write("a", value(i)).body);
    }
    assertTrue(store.isForgotten(0));
    long oldest = store.revision() - EmulationConstants.MIN_CHANGES_KEPT;
    assertFalse(store.isForgotten(oldest));
    assertEquals(EmulationConstants.MIN_CHANGES_KEPT, store.changesAfter(oldest, "").size());
  }
}
