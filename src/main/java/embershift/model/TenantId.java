package embershift.model;

/** A participant. */
public record TenantId(String name) {
}
