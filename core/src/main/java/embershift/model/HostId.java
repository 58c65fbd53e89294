package embershift.model;

/** A session host, by the name that setups are sent to. */
public record HostId(String name) {}
