package brassbank.management;

import java.util.function.Consumer;

/** What operators can ask of the proxy. Called on the loop's thread; none of it may wait. */
public interface Operators {
  /**
   * An answer.
   *
   * @param yes whether it is so, or is being done
   * @param text one line for a person
   */
  record Answer(boolean yes, String text) {}

  /** Whether this process takes clients. */
  Answer status();

  /** Sends the clients away; the second time it changes nothing. */
  Answer standby();

  /**
   * The same where others are asked first.
   *
   * @param then hears the answer, within a second, on the loop's thread
   * @return whether it is asked; else {@link #standby} answers
   */
  default boolean standby(Consumer<Answer> then) {
    return false;
  }

  /** Whom this process sees in its fleet, as JSON in ASCII; null where it is in none. */
  default String members() {
    return null;
  }

  /** Takes clients again; the second time it changes nothing. */
  Answer active();
}
