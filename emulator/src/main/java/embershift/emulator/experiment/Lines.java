package embershift.emulator.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/** Results as JSON Lines: one result a line, the same bytes for the same result. */
public final class Lines {

    private static final JsonMapper JSON =
            JsonMapper.builder()
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Lines() {}

    public static String line(Result result) {
        try {
            return JSON.writeValueAsString(result);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Adds one line to a file, whole or (if the program ends now) cut off, which {@link #read}
     * passes over.
     */
    static void append(Path file, Result result) throws IOException {
        Files.writeString(
                file,
                line(result) + "\n",
                StandardCharsets.UTF_8,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    /** Writes a file anew: the old one stands until the new one is whole. */
    public static void write(Path file, List<Result> results) throws IOException {
        StringBuilder text = new StringBuilder();
        results.forEach(result -> text.append(line(result)).append('\n'));
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(beside, text, StandardCharsets.UTF_8);
        Files.move(
                beside, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * The results in a file; lines that are no result, such as one cut off at the end, are passed
     * over.
     */
    public static List<Result> read(Path file) throws IOException {
        List<Result> results = new ArrayList<>();
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
                try {
                    results.add(JSON.readValue(line, Result.class));
                } catch (JsonProcessingException e) {
                    // Cut off when the program was ended: that play is played again.
                }
            }
        }
        return results;
    }
}
