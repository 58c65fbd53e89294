package embershift.model;

/** A tunnel's profile. */
public record ProfileId(String name) {}
