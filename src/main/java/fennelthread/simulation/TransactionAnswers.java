package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * Faults of the state service's answers: requests are executed at once, answers are lost or late.
 */
final class TransactionAnswers {

  /** A predicate on caller and body, and how many more matching answers it loses. */
  private static final class AnswerLoss {
    final BiPredicate<String, String> matches;
    int remaining;

    AnswerLoss(BiPredicate<String, String> matches, int times) {
      this.matches = matches;
      this.remaining = times;
    }
  }

  private final SimulatedNetwork network;
  private final List<AnswerLoss> answerLosses = new ArrayList<>();
  private double lossShare;
  private long answerDelayMs;
  private final Runnable onLoss;

  /**
   * Creates an instance without active faults.
   *
   * @param onLoss runs for each lost answer
   */
  TransactionAnswers(SimulatedNetwork network, Runnable onLoss) {
    this.network = network;
    this.onLoss = onLoss;
  }

  /** Loses the answers of this share of the executed transactions for {@code forMs}. */
  void lose(double share, long forMs) {
    lossShare = share;
    network.after(forMs, () -> lossShare = 0);
  }

  /**
   * Loses the answers of the next {@code times} matching transactions that are applied.
   *
   * @param matches tests the caller's name and the body, decoded as ISO-8859-1
   */
  void loseNext(BiPredicate<String, String> matches, int times) {
    answerLosses.add(new AnswerLoss(matches, times));
  }

  /** Delays the answer to every request by {@code ms} for {@code forMs}. */
  void delay(long ms, long forMs) {
    answerDelayMs = ms;
    network.after(forMs, () -> answerDelayMs = 0);
  }

  /** Wraps a reply so that the faults active now apply to the request's answer. */
  Consumer<Answer> wrapReply(String caller, Request request, Consumer<Answer> reply) {
    Consumer<Answer> delayed = delayed(reply);
    if (!request.path().equals("/multi")) {
      return delayed;
    }
    boolean loses = lossShare > 0 && network.faults.nextDouble() < lossShare;
    return answer -> {
      if ((loses && isExecuted(answer)) || takeMatchingLoss(caller, request, answer)) {
        onLoss.run();
      } else {
        delayed.accept(answer);
      }
    };
  }

  private Consumer<Answer> delayed(Consumer<Answer> reply) {
    long ms = answerDelayMs;
    return ms == 0 ? reply : answer -> network.after(ms, () -> reply.accept(answer));
  }

  /** A transaction was executed if it was applied or one of its conditions did not hold. */
  private static boolean isExecuted(Answer answer) {
    return answer.status() == 200 || answer.status() == 409;
  }

  private boolean takeMatchingLoss(String caller, Request request, Answer answer) {
    if (answerLosses.isEmpty() || answer.status() != 200) {
      return false;
    }
    String body = new String(request.body(), StandardCharsets.ISO_8859_1);
    for (AnswerLoss loss : answerLosses) {
      if (loss.remaining > 0 && loss.matches.test(caller, body)) {
        loss.remaining--;
        return true;
      }
    }
    return false;
  }
}
