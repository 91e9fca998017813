package brassbank.shares;

/**
 * Whether this process may leave by its operators' call; a value.
 *
 * @param other the rank that leaves instead, or one below zero
 */
public record Leave(Answer answer, int other) {
  static final Leave ASKED = new Leave(Answer.ASKED, -1);
  static final Leave GO = new Leave(Answer.GO, -1);

  /** What is known. */
  public enum Answer {
    /** Not yet known. */
    ASKED,
    /** It may, now. */
    GO,
    /** Another leaves. */
    OTHER_LEAVES,
    /** Too few others have a seat to carry what it holds. */
    TOO_FEW,
    /** No majority of keepers answers. */
    NOBODY_ANSWERS
  }

  static Leave of(Answer answer) {
    return new Leave(answer, -1);
  }
}
