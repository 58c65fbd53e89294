package embershift.model;

/** What a tunnel is about: the same on each try of one client. */
public record SubjectId(String name) {}
