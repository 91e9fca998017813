package brassbank.gateway.link.frame;

/**
 * The last frame of a side that will not go on, told to those who run the other.
 *
 * @param text printable ASCII, up to {@link #LONGEST} characters; longer ones are cut
 */
public record Refusal(Code code, Version version, String text) {
  /** What a link is refused for; the numbers are the format's. */
  public enum Code {
    /** Another major version. */
    VERSION(1),
    /** The hello names a gateway that the certificate does not, or that is not expected here. */
    NAME(2),
    /** What came breaks the protocol. */
    VIOLATION(3),
    /** This gateway has as many links to the other as it takes. */
    FULL(4),
    /** A code that a newer version has. */
    OTHER(255);

    final int number;

    Code(int number) {
      this.number = number;
    }

    static Code of(int number) {
      for (Code code : values()) {
        if (code.number == number) {
          return code;
        }
      }
      return OTHER;
    }
  }

  public static final int LONGEST = 256;

  public Refusal {
    StringBuilder printable = new StringBuilder();
    for (int i = 0; i < Math.min(LONGEST, text.length()); i++) {
      char c = text.charAt(i);
      printable.append(c >= ' ' && c <= '~' ? c : '?');
    }
    text = printable.toString();
  }
}
