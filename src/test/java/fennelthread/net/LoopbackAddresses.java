package fennelthread.net;

import fennelthread.emulate.Addresses;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * Addresses of the loopback interface for the servers of tests, each given out once. Test processes
 * run side by side: a port that was found free on an address they share can be taken by another
 * process before it is listened on.
 */
final class LoopbackAddresses {
  private static final Addresses BLOCK = claimBlock();
  private static final AtomicInteger GIVEN_OUT = new AtomicInteger();

  private LoopbackAddresses() {}

  /** An address that nothing listens on, host and port. */
  static String next() {
    return BLOCK.machine(GIVEN_OUT.getAndIncrement());
  }

  private static Addresses claimBlock() {
    try {
      return Addresses.claim(RandomGenerator.getDefault());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
