package brassbank.sim.experiment;

/** A figure that is computed for each run. */
public enum Figure {
  SERVED("served_pct", "wanted seconds that were served, per cent"),
  WORST_CLASS("worst_class_pct", "the same of the worst class"),
  WORST_PRACTICE("worst_practice_pct", "the same of the worst practice"),
  GAVE_UP("gave_up", "clients that were not served after all their tries"),
  REFUSALS("refusals", "answers that turn a flow away"),
  CROSSINGS("crossings_pct", "sessions that began in another zone than their proxy's, per cent"),
  SETUPS("setups", "attempts that hosts read"),
  PROBES("probes_host_s", "probes that a host reads in a second"),
  PROBES_TOP("probes_top", "the most probed host's over the mean"),
  CONNECTS("connects_host_s", "connections that a host accepts in a second"),
  CONNECTS_TOP("connects_top", "the same, the most over the mean"),
  SESSIONS_TOP("sessions_top", "sessions on a host over what it can hold, the most over the mean"),
  MODEL_HOSTS("model_hosts", "hosts that hold a project model, of those that are held"),
  LIST_CALLS("list_calls", "calls to discovery"),
  BROKEN("broken", "1 where a rule was broken");

  private final String key;
  private final String about;

  Figure(String key, String about) {
    this.key = key;
    this.about = about;
  }

  /** Returns the name used in tables and files. */
  public String key() {
    return key;
  }

  /** Returns a description with the unit. */
  public String about() {
    return about;
  }
}
