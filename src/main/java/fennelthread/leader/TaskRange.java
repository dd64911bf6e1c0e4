package fennelthread.leader;

import it.unimi.dsi.fastutil.ints.AbstractIntList;
import java.util.Objects;
import java.util.RandomAccess;

/**
 * An immutable list of consecutive task indexes; it takes the same memory whatever their number.
 */
final class TaskRange extends AbstractIntList implements RandomAccess {
  private final int first;
  private final int size;

  /** Creates the list of the {@code size} indexes from {@code first} on. */
  TaskRange(int first, int size) {
    this.first = first;
    this.size = size;
  }

  @Override
  public int getInt(int index) {
    return first + Objects.checkIndex(index, size);
  }

  @Override
  public int size() {
    return size;
  }
}
