package embershift.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Samples of a wire or file format, compared with those that an earlier version wrote. A resource
 * holds one sample per line: its name, {@code " = "}, then {@code hex:} and bytes in hexadecimal,
 * or {@code text:} and a text in which line breaks and backslashes are escaped.
 */
public final class GoldenSamples {

    private static final String SEPARATOR = " = ";
    private static final String HEX = "hex:";
    private static final String TEXT = "text:";
    private static final int MAX_REPORTED = 10;

    private final Map<String, String> samples = new LinkedHashMap<>();

    /** Adds a binary sample. */
    public GoldenSamples bytes(String name, byte[] value) {
        return add(name, HEX + HexFormat.of().formatHex(value));
    }

    /** Adds a text sample. */
    public GoldenSamples text(String name, String value) {
        return add(
                name, TEXT + value.replace("\\", "\\\\").replace("\n", "\\n").replace("\r", "\\r"));
    }

    @Override
    public String toString() {
        return samples.toString();
    }

    /** How many samples were added. */
    public int size() {
        return samples.size();
    }

    private GoldenSamples add(String name, String encoded) {
        if (name.contains(SEPARATOR) || samples.put(name, encoded) != null) {
            throw new IllegalArgumentException(
                    "a sample's name is unique and has no separator: " + name);
        }
        return this;
    }

    /**
     * Compares all samples with the resource of that name beside the test. What this version writes
     * is left in {@code target/golden} where it differs.
     *
     * @throws AssertionError where a sample differs, is missing or is new
     */
    public void assertMatch(Class<?> test, String resource) {
        Map<String, String> expected = read(test, resource);
        List<String> differences = new ArrayList<>();
        TreeSet<String> names = new TreeSet<>(expected.keySet());
        names.addAll(samples.keySet());
        for (String name : names) {
            String wanted = expected.get(name);
            String written = samples.get(name);
            if (wanted == null || !wanted.equals(written)) {
                differences.add(name + ": expected " + wanted + ", but was " + written);
            }
        }
        if (!differences.isEmpty()) {
            throw new AssertionError(
                    differences.size()
                            + " of "
                            + names.size()
                            + " samples of "
                            + resource
                            + " differ; all are in "
                            + write(resource)
                            + ":\n"
                            + String.join(
                                    "\n",
                                    differences.subList(
                                            0, Math.min(MAX_REPORTED, differences.size()))));
        }
    }

    /**
     * The binary sample of that name in a resource beside the test.
     *
     * @throws IllegalArgumentException where there is none
     */
    public static byte[] expectedBytes(Class<?> test, String resource, String name) {
        String encoded = read(test, resource).get(name);
        if (encoded == null || !encoded.startsWith(HEX)) {
            throw new IllegalArgumentException("no bytes of " + name + " in " + resource);
        }
        return HexFormat.of().parseHex(encoded.substring(HEX.length()));
    }

    private static Map<String, String> read(Class<?> test, String resource) {
        Map<String, String> read = new LinkedHashMap<>();
        try (InputStream in = test.getResourceAsStream(resource)) {
            if (in != null) {
                for (String line :
                        new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                    int separator = line.indexOf(SEPARATOR);
                    if (separator > 0) {
                        read.put(
                                line.substring(0, separator),
                                line.substring(separator + SEPARATOR.length()));
                    }
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return read;
    }

    private Path write(String resource) {
        StringBuilder lines = new StringBuilder();
        samples.forEach(
                (name, encoded) ->
                        lines.append(name).append(SEPARATOR).append(encoded).append('\n'));
        try {
            Path folder = Files.createDirectories(Path.of("target", "golden"));
            return Files.writeString(folder.resolve(resource), lines, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
