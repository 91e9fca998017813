package brassbank.sim.actor;

import brassbank.sim.net.Machine;

/**
 * One proxy of the site, as faults act upon it and rules observe it, whether its process runs in
 * virtual time or is one of the operating system's. Times are in microseconds. All methods are
 * called on the thread that runs the agenda, and none blocks.
 */
public interface ProxyInstance {
  /** Returns the proxy's name. */
  String name();

  /**
   * Returns the proxy's machine in the simulated network, which all other actors of the site
   * connect to.
   */
  Machine machine();

  /** Starts the proxy's process; {@code atOnce} skips the time that it needs to start. */
  void start(boolean atOnce);

  /** Kills the process, and starts another after {@code downFor}. */
  void crash(long downFor);

  /** Cuts the power of the proxy's machine for {@code downFor}. */
  void losePower(long downFor);

  /**
   * Restarts the process: SIGTERM, SIGKILL if the shutdown exceeds its time limit, and a new start.
   */
  void restart();

  /**
   * Puts the proxy on standby as an operator does, and returns it to service after {@code awayFor}.
   */
  void standby(long awayFor);

  /** Starts a second process that takes over from the one that serves. */
  void upgrade();

  /**
   * Sends SIGHUP after a new settings file was written, in which discovery's address is {@code
   * further} moves further on.
   */
  void hangUp(int further);

  /**
   * Sends SIGHUP after a truncated settings file was written, whose beginning differs from the last
   * one.
   */
  void hangUpDamaged();

  /** Steps the wall clock of the proxy's machine by this many milliseconds. */
  void stepClock(long millis);

  /** Pauses the process for this time, while the machine's kernel continues. */
  void pause(long micros);

  /**
   * Returns until when the process is paused, or when its last pause ended, in microseconds of the
   * run.
   */
  long pausedUntil();

  /**
   * Returns whether a process of the proxy is a member of the fleet and has not been told to shut
   * down.
   */
  boolean isMember();

  /** Returns the number of descriptors that the proxy's processes hold together. */
  int descriptors();
}
