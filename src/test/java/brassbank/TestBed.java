package brassbank;

import java.io.IOException;

/**
 * A proxy with targets, discovery and clients, on real sockets or in virtual time, on which a
 * scenario runs. The targets are named {@code s-1} and {@code s-2}. Every wait has a time limit.
 */
interface TestBed {
  /** One end of a connection. */
  interface Connection {
    /** Sends the text as it is. */
    Connection send(String text) throws IOException;

    /**
     * Returns the next line without its line end, {@code END} once the peer has ended its output,
     * or {@code RESET} once the connection is reset.
     */
    String line() throws IOException;

    /** Ends the output of this side. */
    void shutdownOutput() throws IOException;

    /** Closes the connection with a reset. */
    void reset() throws IOException;

    /** Closes the connection, as a program does that has read everything. */
    void close() throws IOException;
  }

  /** Sets the line with which a target answers a first line; it sends none if that is empty. */
  void setOpenResponse(String target, String line);

  /** Starts the proxy with these targets in its configuration. */
  void start(String... known) throws Exception;

  /** Connects a client and sends its first line. */
  Connection connectClient() throws Exception;

  /** Waits for the next connection that opens a flow at the target. */
  Connection nextFlow(String target) throws Exception;

  /** Closes the listening socket of the target. */
  void closeListener(String target) throws Exception;

  /** Moves discovery to a new address, where it lists these targets, and reloads the proxy. */
  void moveDiscovery(String... listed) throws Exception;

  /** Sends SIGTERM to the proxy. */
  void terminate() throws Exception;

  /** Returns the milliseconds since the start of the proxy. */
  long elapsedMillis();

  /** Stops the proxy and closes all connections. */
  void close() throws Exception;
}
