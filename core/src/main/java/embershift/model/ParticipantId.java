package embershift.model;

/** A participant. */
public record ParticipantId(String name) {}
