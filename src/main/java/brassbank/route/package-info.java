/**
 * Near or far: the decisions of a gateway between sites. {@link brassbank.route.Router} is its
 * facade: {@code pick} says where a flow goes, {@code report} takes what has happened, {@code tick}
 * does what is due; all answer by values. Behind it lie what the other sites have told ({@code
 * Rooms}), the choice ({@code Routes}), the damping of links that flap ({@code Damping}), and the
 * two ledgers that keep a flow from having two attempts out: {@code Crossings} on the near side and
 * {@code Leases} on the far side. docs/gateway.md has the rules and the proof.
 *
 * <p>Nothing here does input or output, has a thread, or asks for time or chance: time comes in
 * with each call, in microseconds of a clock of this process that never goes back, chance as a
 * supplier at the start. It knows no other package of the project; the arrows point here. For one
 * thread at a time.
 */
package brassbank.route;
