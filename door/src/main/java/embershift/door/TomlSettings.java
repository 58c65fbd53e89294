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
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads operators' files: TOML, validated against a schema before anything is done by it. */
public final class TomlSettings {

    /** A file that can't be used. The message is one line: file, key, what was expected. */
    public static final class InvalidSettingsException extends Exception {

        private static final long serialVersionUID = 1;

        /** Creates an exception. */
        public InvalidSettingsException(String message) {
            super(message);
        }
    }

    private TomlSettings() {}

    /** Returns the text of a file. */
    public static String readText(Path file) throws InvalidSettingsException {
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new InvalidSettingsException(file + ": can't be read: " + e.getMessage());
        }
    }

    /**
     * Reads settings by the schema that stands beside their type.
     *
     * @param file what messages call the file
     * @param schema the schema is the resource {@code SCHEMA.schema.json}
     * @param defaults puts in what was left out, after the validation
     */
    public static <T> T read(
            String text, String file, String schema, Consumer<ObjectNode> defaults, Class<T> type)
            throws InvalidSettingsException {
        try (InputStream schemaStream = type.getResourceAsStream(schema + ".schema.json")) {
            JsonNode settings = new TomlMapper().readTree(text);
            validate(settings, schemaStream, file);
            defaults.accept((ObjectNode) settings);
            return JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build()
                    .treeToValue(settings, type);
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            String reason = e.getOriginalMessage().lines().findFirst().orElse("");
            throw new InvalidSettingsException(file + ":" + line + ": " + reason);
        } catch (IOException e) {
            throw new InvalidSettingsException(file + ": " + e.getMessage());
        }
    }

    private static void validate(JsonNode settings, InputStream schemaStream, String file)
            throws InvalidSettingsException {
        Optional<String> error =
                JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                        .getSchema(schemaStream)
                        .validate(settings)
                        .stream()
                        .map(ValidationMessage::getMessage)
                        .min(Comparator.naturalOrder());
        if (error.isPresent()) {
            throw new InvalidSettingsException(
                    file + ": " + error.get().replaceFirst("^\\$[.:]? ?", ""));
        }
    }

    /** Whether this is HOST:PORT. */
    public static boolean isValidAddress(String text) {
        return text.matches("[^:\\s]+:\\d{1,5}")
                && Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) <= 65_535;
    }

    /** Returns the socket address that HOST:PORT stands for. */
    public static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
