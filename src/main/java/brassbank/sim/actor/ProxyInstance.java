package brassbank.sim.actor;

import brassbank.sim.net.Machine;

/**
 * One proxy of the site, as faults act upon it and rules ask for it, whatever carries its process:
 * virtual time, or the operating system. Times are in microseconds. All calls are made on the
 * thread that turns the agenda, and none waits.
 */
public interface ProxyInstance {
  String name();

  /** Its machine in the simulated network, which all others of the site meet. */
  Machine machine();

  /** Starts its process from nothing; {@code atOnce} leaves its boot time out. */
  void start(boolean atOnce);

  /** Kills it outright; it comes again after so long. */
  void crash(long downFor);

  /** Its machine loses its power for so long. */
  void losePower(long downFor);

  /** SIGTERM, SIGKILL when its time is over, and a new start. */
  void restart();

  /** Operators have its clients sent away, and call it back after so long. */
  void standby(long awayFor);

  /** A process is started beside the one that serves, and succeeds it. */
  void upgrade();

  /** SIGHUP, with this many further addresses of discovery in the new file. */
  void hangUp(int further);

  /** SIGHUP with a file that says something new at its beginning and then breaks off. */
  void hangUpDamaged();

  /** Steps its machine's wall clock by so many milliseconds. */
  void stepClock(long millis);

  /** Nothing of it runs for so long; its kernel goes on. */
  void pause(long micros);

  /** Until when nothing of it runs, or did not run; of the run's time. */
  long pausedUntil();

  /** Whether a process of it is a member of the fleet, and has not been told to stop. */
  boolean isMember();

  /** Descriptors that its processes hold together. */
  int descriptors();
}
