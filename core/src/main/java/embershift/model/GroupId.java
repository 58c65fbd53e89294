package embershift.model;

/** A group of tunnels that share work on each host holding any of them. */
public record GroupId(String name) {}
