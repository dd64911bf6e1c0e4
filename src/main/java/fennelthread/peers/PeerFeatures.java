package fennelthread.peers;

/**
 * The features that the version of a controller supports. Older versions omit the fields; an
 * omitted field is read as false.
 *
 * @param dependencies true if it holds back jobs until those that they depend on are done
 * @param relaying true if it relays reports and commands for its peers
 * @param promises true if it can promise a leader not to help others take over
 */
public record PeerFeatures(boolean dependencies, boolean relaying, boolean promises) {
  /** The features of this version. */
  static PeerFeatures current() {
    return new PeerFeatures(true, true, true);
  }
}
