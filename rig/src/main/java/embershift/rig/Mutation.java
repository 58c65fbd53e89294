package embershift.rig;

import java.io.File;
import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * A known mistake put into the program: one text of one source file replaced by another, and
 * compiled beside the rest. A checker that does not catch it proves nothing by its silence.
 */
public final class Mutation implements AutoCloseable {

    private final Path folder;

    /**
     * @throws IllegalArgumentException where the text does not stand there exactly once, or does
     *     not compile
     */
    public Mutation(Path source, String from, String to) throws IOException {
        String text = Files.readString(source, StandardCharsets.UTF_8);
        Matcher found = anyLayout(from).matcher(text);
        if (!found.find() || found.results().count() > 0) {
            throw new IllegalArgumentException("not once in " + source + ": " + from);
        }
        folder = Files.createTempDirectory("mutation");
        Path changed = folder.resolve(source.getFileName());
        Files.writeString(
                changed,
                anyLayout(from).matcher(text).replaceFirst(Matcher.quoteReplacement(to)),
                StandardCharsets.UTF_8);
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler.run(
                        null,
                        null,
                        null,
                        "-proc:none",
                        "-nowarn",
                        "-d",
                        folder.toString(),
                        "-cp",
                        classPath(),
                        changed.toString())
                != 0) {
            throw new IllegalArgumentException("does not compile: " + to);
        }
    }

    /**
     * The code whatever white space is between its signs: where a formatter breaks lines is no part
     * of a mistake.
     */
    private static Pattern anyLayout(String code) {
        return Pattern.compile(
                code.codePoints()
                        .filter(sign -> !Character.isWhitespace(sign))
                        .mapToObj(sign -> Pattern.quote(Character.toString(sign)))
                        .collect(Collectors.joining("\\s*")));
    }

    private static String classPath() {
        return System.getProperty("java.class.path");
    }

    /** The class path of a process that is to make the mistake. */
    public String mutatedClassPath() {
        return folder + File.pathSeparator + classPath();
    }

    /** Loads the whole program anew, with the mistake. */
    public URLClassLoader loader() throws IOException {
        List<URL> urls = new ArrayList<>();
        urls.add(folder.toUri().toURL());
        for (String part : classPath().split(File.pathSeparator)) {
            urls.add(Path.of(part).toUri().toURL());
        }
        return new URLClassLoader(urls.toArray(new URL[0]), ClassLoader.getPlatformClassLoader());
    }

    /**
     * What the mistake breaks in a world of the seeds, or null: by {@code firstBroken} of that
     * class, loaded with the mistake.
     */
    public Object firstBroken(String world, long first, long many)
            throws IOException, ReflectiveOperationException {
        try (URLClassLoader loader = loader()) {
            return loader.loadClass("embershift.rig.world." + world)
                    .getMethod("firstBroken", long.class, long.class)
                    .invoke(null, first, many);
        }
    }

    @Override
    public void close() throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
