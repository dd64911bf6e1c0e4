package fennelthread.state;

import fennelthread.wire.Fields;

/** One change that a watch reports. */
sealed interface KeyChange {
  /** The key that has changed. */
  String key();

  /** The revision of the change. */
  long revision();

  /** The key was written. */
  record Put(String key, Fields value, long revision) implements KeyChange {}

  /** The key was removed, or expired with its lease. */
  record Delete(String key, long revision) implements KeyChange {}
}
