package brassbank.gateway.link.frame;

/** The kinds of frames with their numbers and how many bytes their bodies may have. */
enum Kind {
  /** Up to the version it is the same in every major version. */
  HELLO(1, 6, 512),
  REFUSE(2, 3, 512),
  LEAVE(3, 5, 5),
  PING(4, 8, 8),
  PONG(5, 8, 8),
  ROOM(6, 26, 25 + Room.LONGEST_CLASS),
  OPEN(16, 32, 32 + Open.LONGEST_LINE),
  ANSWER(17, 11, 11 + Open.LONGEST_LINE),
  KEEP(18, 0, 0),
  DATA(19, 1, Frames.MOST_BODY),
  CREDIT(20, 4, 4),
  END(21, 0, 0),
  RESET(22, 1, 1);

  /** From this number on a frame belongs to a session. */
  private static final int FIRST_OF_SESSION = 16;

  private static final Kind[] BY_NUMBER = new Kind[32];

  static {
    for (Kind kind : values()) {
      BY_NUMBER[kind.number] = kind;
    }
  }

  final int number;
  final int least;

  /** Of this version; a newer minor one may put more fields behind. */
  final int most;

  Kind(int number, int least, int most) {
    this.number = number;
    this.least = least;
    this.most = most;
  }

  /** The kind, or null where this version has none of the number. */
  static Kind of(int number) {
    return number < BY_NUMBER.length ? BY_NUMBER[number] : null;
  }

  boolean ofSession() {
    return number >= FIRST_OF_SESSION;
  }
}
