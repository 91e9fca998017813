package brassbank.membership;

import java.util.List;

/**
 * Whom one member saw at one moment; a value.
 *
 * @param version grows with each change, within one life of the process
 * @param self the member whose view it is; it is among the members
 * @param members by their names: the live ones and those that are remembered
 * @param settled nobody is suspected, nothing has changed for some time, and the first look for
 *     others is over
 * @param displaced another process has this one's name: it is no member
 */
public record View(
    long version, String self, List<Member> members, boolean settled, boolean displaced) {
  public View {
    members = List.copyOf(members);
  }

  /** Those that are there, the suspected among them. */
  public List<Member> liveMembers() {
    return members.stream().filter(member -> member.state().isLive()).toList();
  }
}
