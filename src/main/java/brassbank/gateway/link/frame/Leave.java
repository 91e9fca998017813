package brassbank.gateway.link.frame;

/**
 * A side announces the end of a link.
 *
 * @param withinMillis the link ends so much later at the latest; 0 where no end is set
 */
public record Leave(Code code, int withinMillis) {
  /** What for; the numbers are the format's. */
  public enum Code {
    /**
     * The gateway stops: nothing is to be opened any longer, and what stands is to be moved before.
     */
    STOP(1),
    /** Another link should take this one's place; until one does, all goes on. */
    RENEW(2),
    /**
     * Nothing more is opened by this side; once both have said so and no session is left, it ends.
     */
    CLOSE(3);

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
      throw new FrameException("LEAVE of an unknown code " + number);
    }
  }
}
