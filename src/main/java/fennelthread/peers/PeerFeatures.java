package fennelthread.peers;

/**
 * What the version of a controller supports. Older versions leave the fields out, which reads as
 * false.
 *
 * @param dependencies true if it holds back jobs until those that they depend on are done
 * @param relaying true if it relays reports and commands for its peers
 * @param promises true if it promises leaders not to help others take over
 */
public record PeerFeatures(boolean dependencies, boolean relaying, boolean promises) {
  /** The features of this version. */
  static PeerFeatures current() {
    return new PeerFeatures(true, true, true);
  }
}
