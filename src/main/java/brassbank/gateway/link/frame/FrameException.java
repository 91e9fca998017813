package brassbank.gateway.link.frame;

/** What came is no frame, or none that may stand here; the link that it came on must end. */
public final class FrameException extends Exception {
  private static final long serialVersionUID = 1;

  public FrameException(String reason) {
    super(reason);
  }
}
