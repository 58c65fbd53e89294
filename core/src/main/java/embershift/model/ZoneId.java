package embershift.model;

/** A place: a data centre or site. */
public record ZoneId(String name) {}
