package embershift.door;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/** Operators' files: TOML, checked whole against a schema before anything is done by it. */
public final class Toml {

    /** It can't be used. The message is one line: file, key, what was expected. */
    public static final class Unusable extends Exception {

        private static final long serialVersionUID = 1;

        public Unusable(String message) {
            super(message);
        }
    }

    private Toml() {}

    public static String text(Path file) throws Unusable {
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new Unusable(file + ": can't be read: " + e.getMessage());
        }
    }

    /**
     * Reads by the schema that stands beside the type, {@code SCHEMA.schema.json}; {@code usual}
     * puts in what was left out.
     */
    public static <T> T read(
            String text, String file, String schema, Consumer<ObjectNode> usual, Class<T> type)
            throws Unusable {
        try (InputStream rules = type.getResourceAsStream(schema + ".schema.json")) {
            JsonNode tree = new TomlMapper().readTree(text);
            ValidationMessage wrong =
                    JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                            .getSchema(rules)
                            .validate(tree)
                            .stream()
                            .min((one, other) -> one.getMessage().compareTo(other.getMessage()))
                            .orElse(null);
            if (wrong != null) {
                throw new Unusable(
                        file + ": " + wrong.getMessage().replaceFirst("^\\$[.:]? ?", ""));
            }
            usual.accept((ObjectNode) tree);
            return JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build()
                    .treeToValue(tree, type);
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new Unusable(
                    file
                            + ":"
                            + line
                            + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new Unusable(file + ": " + e.getMessage());
        }
    }

    /** Whether this is HOST:PORT. */
    public static boolean isAddress(String text) {
        return text.matches("[^:\\s]+:\\d{1,5}")
                && Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) <= 65_535;
    }

    public static InetSocketAddress socket(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
