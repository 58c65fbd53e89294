package embershift.model;

/** A tunnel, named after one attempt of its client; a client that reconnects gets a new id. */
public record TunnelId(String name) {}
