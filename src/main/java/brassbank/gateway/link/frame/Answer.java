package brassbank.gateway.link.frame;

/**
 * What became of an attempt. All but {@link Code#UP} end the session.
 *
 * @param pauseMillis when to come again, counted from now; 0 where no time is told
 * @param credit bytes that the opener may send before it gets more credit; 0 unless it is up
 * @param line what the stream host answered, without its end, as ISO 8859-1; empty where none did
 */
public record Answer(Code code, int pauseMillis, int credit, String line) {
  /** The numbers are the format's. */
  public enum Code {
    /** The session stands. */
    UP(0),
    /** Turned away; it has never run. */
    TURNED_AWAY(1),
    /** It came to nothing, and may have run. */
    FAILED(2),
    /** It was given up, and is out no longer: the opener wished so, or the lease ran out. */
    GIVEN_UP(3);

    final int number;

    Code(int number) {
      this.number = number;
    }

    static Code of(int number) throws FrameException {
      for (Code code : values()) {
        if (code.number == number) {
          return code;
        }
      }
      throw new FrameException("ANSWER of an unknown code " + number);
    }
  }

  /**
   * @throws IllegalArgumentException where a figure is below 0 or the line too long or no line
   */
  public Answer {
    if (pauseMillis < 0 || credit < 0 || (credit > 0 && code != Code.UP)) {
      throw new IllegalArgumentException("a pause is 0 or more; only UP brings credit");
    }
    Open.checkLine(line);
  }

  /** An answer that no stream host gave. */
  public static Answer of(Code code) {
    return new Answer(code, 0, 0, "");
  }
}
