package brassbank.route;

/** What is to be done now, in the order given: a later step may rest on an earlier one. */
public sealed interface Step {

  /** Near side: the flow stays here. */
  record Near(long flow, Reason why) implements Step {}

  /** Near side: the flow crosses; the message goes over this link, the flow's figures with it. */
  record Cross(long flow, long link, Message.Open open) implements Step {}

  /** Near side: the far host has taken the flow; its connection stands, over this link. */
  record Served(long flow, long link, long number) implements Step {}

  /**
   * Near side: the crossing has ended, for certain, and without service. The flow may be tried
   * again here, as often as attempts are left; with none it is to be answered. It does not cross
   * again.
   *
   * @param mayHaveRun whether an attempt of it may have had an effect
   */
  record Again(long flow, int attemptsLeft, boolean mayHaveRun) implements Step {}

  /**
   * Near side: the flow is to be answered now, and never tried again: its lease is over, but
   * nothing proves that the far side has given it up. Whether the answer may say that trying again
   * is harmless is the class's matter; an attempt may have run.
   */
  record Answer(long flow) implements Step {}

  /** Near side: the standing connection has lost its far end; its client is to be moved. */
  record Move(long flow) implements Step {}

  /**
   * Far side: a guest is to be placed at a host of this site, and never to cross again.
   *
   * @param until when the host must have taken it, on this side's clock
   * @param attempts that may be made, one after the other
   */
  record Admit(Guest guest, long link, String flowClass, long until, int attempts)
      implements Step {}

  /** Far side: the guest's attempt, or its connection, is to be ended before any later step. */
  record GiveUp(Guest guest) implements Step {}

  /** Far side: the guest's connection stands; its lines may pass. */
  record Stand(Guest guest) implements Step {}

  /** Send this over the link. */
  record Send(long link, Message message) implements Step {}

  /** End the link: a later incarnation of its peer is known. */
  record Drop(long link) implements Step {}
}
