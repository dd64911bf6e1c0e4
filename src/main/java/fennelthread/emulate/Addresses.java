package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.random.RandomGenerator;

/**
 * The loopback addresses of one process, all of one block {@code 127.B.0.0/16}: each machine
 * listens on its own address and the common port, so that ports don't run out, and no other process
 * can take an address before it is listened on. Linux routes the whole of 127.0.0.0/8 to the
 * loopback without any set-up.
 */
public final class Addresses implements AutoCloseable {
  private final int block;
  private final ServerSocket claim;

  private Addresses(int block, ServerSocket claim) {
    this.block = block;
    this.claim = claim;
  }

  /**
   * Takes a block that no other process on this machine holds, for as long as it is open.
   *
   * @throws IOException if none was free after several tries
   */
  public static Addresses claim(RandomGenerator random) throws IOException {
    IOException last = null;
    for (int i = 0; i < EmulationConstants.MAX_ADDRESS_BLOCK_TRIES; i++) {
      int block = 1 + random.nextInt(254);
      try {
        InetAddress lock = InetAddress.getByName("127." + block + ".255.254");
        return new Addresses(block, new ServerSocket(EmulationConstants.WORKER_PORT, 1, lock));
      } catch (IOException e) {
        last = e;
      }
    }
    throw new IOException("no free block of loopback addresses 127.x.0.0/16", last);
  }

  /** A controller's address for users and workers; members count from 0. */
  public String api(int member) {
    return service(1, member, EmulationConstants.API_PORT);
  }

  /** A controller's address for the other controllers. */
  public String peer(int member) {
    return service(1, member, EmulationConstants.PEER_PORT);
  }

  /** The state service as one controller reaches it: the address says who asks. */
  public String state(int member) {
    return service(2, member, EmulationConstants.STATE_PORT);
  }

  /** The cloud as one controller reaches it. */
  public String cloud(int member) {
    return service(3, member, EmulationConstants.CLOUD_PORT);
  }

  private String service(int kind, int member, int port) {
    return "127." + block + "." + (250 + kind) + "." + (1 + member) + ":" + port;
  }

  /** The address of the machine with this number, from 0. */
  public String machine(int number) {
    int third = number / 250;
    if (third > 249) {
      throw new IllegalStateException("more machines than a block of loopback addresses holds");
    }
    int fourth = 1 + number % 250;
    return "127." + block + "." + third + "." + fourth + ":" + EmulationConstants.WORKER_PORT;
  }

  /** Reads {@code a.b.c.d:port}. */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    try {
      return new InetSocketAddress(
          InetAddress.getByName(address.substring(0, colon)),
          Integer.parseInt(address.substring(colon + 1)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(address, e);
    }
  }

  @Override
  public void close() throws IOException {
    claim.close();
  }
}
