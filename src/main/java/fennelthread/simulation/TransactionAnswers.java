package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * Faults of the way back from the state service: requests are carried out at once, and their
 * answers are lost or late.
 */
final class TransactionAnswers {

  /** Answers that are to be lost, picked by caller and body; each loss is counted down. */
  private static final class Picked {
    final BiPredicate<String, String> which;
    int left;

    Picked(BiPredicate<String, String> which, int times) {
      this.which = which;
      this.left = times;
    }
  }

  private final SimulatedNetwork world;
  private final List<Picked> picked = new ArrayList<>();
  private double lossShare;
  private long extraMs;
  private final Runnable onLoss;

  /**
   * Creates it without faults.
   *
   * @param onLoss runs at each answer that is lost
   */
  TransactionAnswers(SimulatedNetwork world, Runnable onLoss) {
    this.world = world;
    this.onLoss = onLoss;
  }

  /** For so long that share of the transactions is carried out and not answered. */
  void lose(double share, long forMs) {
    lossShare = share;
    world.after(forMs, () -> lossShare = 0);
  }

  /**
   * The next {@code times} transactions that match and are applied are not answered.
   *
   * @param which tests the caller's name and the body, decoded as ISO-8859-1
   */
  void loseNext(BiPredicate<String, String> which, int times) {
    picked.add(new Picked(which, times));
  }

  /** For so long every request is answered so much later. */
  void delay(long ms, long forMs) {
    extraMs = ms;
    world.after(forMs, () -> extraMs = 0);
  }

  /** The reply that a request's answer goes to under the faults of this moment. */
  Consumer<Answer> through(String caller, Request request, Consumer<Answer> reply) {
    Consumer<Answer> delayed = delayed(reply);
    if (!request.path().equals("/multi")) {
      return delayed;
    }
    boolean loses = lossShare > 0 && world.faults.nextDouble() < lossShare;
    return answer -> {
      if ((loses && isCarriedOut(answer)) || isPicked(caller, request, answer)) {
        onLoss.run();
      } else {
        delayed.accept(answer);
      }
    };
  }

  private Consumer<Answer> delayed(Consumer<Answer> reply) {
    long ms = extraMs;
    return ms == 0 ? reply : answer -> world.after(ms, () -> reply.accept(answer));
  }

  /** A transaction was executed if it was applied or one of its conditions did not hold. */
  private static boolean isCarriedOut(Answer answer) {
    return answer.status() == 200 || answer.status() == 409;
  }

  private boolean isPicked(String caller, Request request, Answer answer) {
    if (picked.isEmpty() || answer.status() != 200) {
      return false;
    }
    String body = new String(request.body(), StandardCharsets.ISO_8859_1);
    for (Picked p : picked) {
      if (p.left > 0 && p.which.test(caller, body)) {
        p.left--;
        return true;
      }
    }
    return false;
  }
}
