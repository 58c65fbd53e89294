package embershift.model;

/** A session host, under the name by which setups are sent to it. */
public record HostId(String name) {}
