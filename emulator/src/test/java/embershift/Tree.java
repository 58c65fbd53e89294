package embershift;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;

/** A small tree with some of the repository's scripts in it, and stand-ins for what they call. */
final class Tree implements AutoCloseable {

    final Path root = Files.createTempDirectory("tree");

    Tree() throws IOException {}

    /** How a script ended, and all that it wrote. */
    record Ended(int status, String text) {}

    /** Takes over a file of the repository, by its name from there. */
    void copy(String name) throws IOException {
        Files.createDirectories(root.resolve(name).getParent());
        Files.copy(Path.of("..").resolve(name), root.resolve(name));
    }

    Path write(String name, String text) throws IOException {
        Files.createDirectories(root.resolve(name).getParent());
        return Files.writeString(root.resolve(name), text);
    }

    void program(String name, String text) throws IOException {
        if (!write(name, "#!/bin/bash\n" + text).toFile().setExecutable(true)) {
            throw new IOException(name);
        }
    }

    /**
     * Runs a script of the tree from its root, with bin/ there before all other programs and
     * nothing on standard input.
     */
    Ended run(Map<String, String> environment, String script, String... words)
            throws IOException, InterruptedException {
        ProcessBuilder builder =
                new ProcessBuilder(
                                Stream.concat(Stream.of("bash", script), Stream.of(words)).toList())
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectInput(Path.of("/dev/null").toFile());
        String java = Path.of(System.getProperty("java.home"), "bin").toString();
        builder.environment()
                .put("PATH", root.resolve("bin") + ":" + java + ":" + System.getenv("PATH"));
        builder.environment()
                .keySet()
                .removeIf(
                        name -> name.startsWith("EMBERSHIFT_") || name.equals("JAVA_TOOL_OPTIONS"));
        builder.environment().putAll(environment);
        Process process = builder.start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Ended(process.waitFor(), text);
    }

    @Override
    public void close() throws IOException {
        delete(root);
    }

    static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
