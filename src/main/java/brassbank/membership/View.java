package brassbank.membership;

import java.util.List;

/**
 * The members as one member sees them at one moment; immutable.
 *
 * @param version increases with each change while the process runs
 * @param self the name of the member whose view this is; it is among the members
 * @param members the live members and the tombstones, by name
 * @param settled whether no member is suspected, nothing has changed for some time and the seeds
 *     have been contacted
 * @param displaced whether another process has this one's name, so that this one is not a member
 */
public record View(
    long version, String self, List<Member> members, boolean settled, boolean displaced) {
  public View {
    members = List.copyOf(members);
  }

  /** Returns the live members, including suspected ones. */
  public List<Member> liveMembers() {
    return members.stream().filter(member -> member.state().isLive()).toList();
  }
}
