package embershift.model;

/** The participant that a tunnel is for. */
public record ParticipantId(String name) {}
