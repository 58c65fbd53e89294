package embershift.model;

/** A tunnel, as its client's try is named; a client that comes again has a new one. */
public record TunnelId(String name) {}
