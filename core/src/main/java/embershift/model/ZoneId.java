package embershift.model;

/** A zone, such as a data center or site. */
public record ZoneId(String name) {}
