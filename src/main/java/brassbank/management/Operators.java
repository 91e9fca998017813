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

  /** Takes clients again; the second time it changes nothing. */
  Answer active();
}
