package fennelthread.leader;

/** A mutable sum of CPUs and accelerator cards, for example of one team's tasks. */
final class ResourceSum {
  private double cpus;
  private double cards;

  void add(double moreCpus, double moreCards) {
    cpus += moreCpus;
    cards += moreCards;
  }

  void add(ResourceSum other) {
    add(other.cpus, other.cards);
  }

  double cpus() {
    return cpus;
  }

  double cards() {
    return cards;
  }
}
