package brassbank.management;

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

  /** Whom this process sees in its fleet, as JSON in ASCII; null where it is in none. */
  default String members() {
    return null;
  }

  /** Takes clients again; the second time it changes nothing. */
  Answer active();
}
