package embershift.model;

/** What a tunnel is about; the same in all attempts of one client. */
public record SubjectId(String name) {}
