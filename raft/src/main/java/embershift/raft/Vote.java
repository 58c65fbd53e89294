package embershift.raft;

/** What a member must not forget: its term, and whom it gave its vote in it, or null. */
public record Vote(long term, MemberId candidate) {}
