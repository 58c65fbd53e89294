import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Reads KNOWN-RED.txt and what Surefire reported: {@code listed ROOT} prints the tests that may fail, or says what is wrong with the
 * file; {@code judge ROOT} says whether just these failed. Exit status 0, 1 (judged wrong) or 2 (the file is wrong, or the call).
 */
final class KnownRed {

    private static final int MOST = 3;
    private static final String FILE = "KNOWN-RED.txt";
    /** As {@code embershift.program.SomeTest#someMethod, the cause, issue 41}; the cause may hold commas. */
    private static final Pattern LINE = Pattern.compile("([\\w.]+\\.\\w+)#(\\w+),(.*),\\s*issue\\s+(\\d+)");

    /** A test that may fail. */
    record Entry(String type, String method, String cause, String issue) {
        String test() {
            return type + "#" + method;
        }

        @Override
        public String toString() {
            return "known red: " + test() + ": " + cause + " (issue " + issue + ")";
        }
    }

    /** How all runs of a test method ended, its data's rows taken together. */
    private static final class Runs {
        private int passed;
        private int failed;
        private int skipped;
    }

    /** What is wrong, in one line. */
    static final class Wrong extends Exception {
        private static final long serialVersionUID = 1;
        private final int status;

        Wrong(int status, String why) {
            super(why);
            this.status = status;
        }
    }

    private KnownRed() {
    }

    public static void main(String[] args) throws IOException {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
        try {
            if (args.length != 2 || !args[0].equals("listed") && !args[0].equals("judge")) {
                throw new Wrong(2, "wanted: listed ROOT, or judge ROOT");
            }
            Path root = Path.of(args[1]);
            List<Entry> entries = entries(root);
            if (args[0].equals("judge")) {
                judge(root, entries);
                out.println("all tests passed but for " + entries.size() + " known red:");
            }
            entries.forEach(out::println);
            return 0;
        } catch (Wrong e) {
            for (String line : e.getMessage().split("\n")) {
                err.println(FILE + ": " + line);
            }
            return e.status;
        }
    }

    private static List<Entry> entries(Path root) throws IOException, Wrong {
        List<Entry> entries = new ArrayList<>();
        Set<String> tests = new LinkedHashSet<>();
        List<String> lines = Files.readAllLines(root.resolve(FILE), StandardCharsets.UTF_8);
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            String where = "line " + (i + 1) + ", '" + line + "': ";
            Matcher parts = LINE.matcher(line);
            if (!parts.matches()) {
                throw new Wrong(2, where + "wanted: package.Class#method, cause, issue NUMBER");
            }
            Entry entry = new Entry(parts.group(1), parts.group(2), parts.group(3).strip(), parts.group(4));
            if (!entry.cause.matches(".*\\w.*")) {
                throw new Wrong(2, where + "there is no cause");
            }
            if (!exists(root, entry)) {
                throw new Wrong(2, where + "there is no such test");
            }
            if (!tests.add(entry.test())) {
                throw new Wrong(2, where + "this test is listed already");
            }
            entries.add(entry);
        }
        if (entries.size() > MOST) {
            throw new Wrong(2, entries.size() + " tests are listed, " + MOST + " at most may be: mend them");
        }
        return entries;
    }

    /** Looks in the sources, so that a slip is told before the long run. The reports have the last word. */
    private static boolean exists(Path root, Entry entry) throws IOException {
        Pattern method = Pattern.compile("\\bvoid\\s+" + entry.method + "\\s*\\(");
        for (Path module : modules(root)) {
            Path source = module.resolve("src/test/java").resolve(entry.type.replace('.', '/') + ".java");
            if (Files.isRegularFile(source)) {
                return method.matcher(Files.readString(source, StandardCharsets.UTF_8)).find();
            }
        }
        return false;
    }

    /** The folders below the root that hold a module. */
    private static List<Path> modules(Path root) throws IOException {
        try (Stream<Path> all = Files.list(root)) {
            return all.filter(folder -> Files.isRegularFile(folder.resolve("pom.xml"))).sorted().toList();
        }
    }

    private static void judge(Path root, List<Entry> entries) throws IOException, Wrong {
        List<String> faults = new ArrayList<>();
        Map<String, Runs> all = new TreeMap<>();
        for (Path module : modules(root)) {
            reports(module.resolve("target/surefire-reports"), all);
        }
        for (Path module : modules(root)) {
            faults.addAll(unreported(module, all.keySet()));
        }
        Set<String> listed = new LinkedHashSet<>();
        for (Entry entry : entries) {
            listed.add(entry.test());
            Runs runs = all.getOrDefault(entry.test(), new Runs());
            if (runs.failed == 0) {
                faults.add(entry.test() + (runs.passed + runs.skipped == 0 ? " is listed and was not run"
                        : runs.skipped > 0 ? " is listed and was skipped" : " is listed and has become green: take its line out"));
            }
        }
        all.forEach((test, runs) -> {
            if (runs.failed > 0 && !listed.contains(test)) {
                faults.add(test + " failed and is not listed");
            }
        });
        if (!faults.isEmpty()) {
            throw new Wrong(1, String.join("\n", faults));
        }
    }

    /**
     * Test classes of which no test is reported: a suite file leaves them out, or the process for tests ended in the middle (which
     * Surefire 3.5 tells Maven as a failure of the build even where failures are passed over).
     */
    private static List<String> unreported(Path module, Set<String> tests) throws IOException {
        Path sources = module.resolve("src/test/java");
        if (!Files.isDirectory(sources)) {
            return List.of();
        }
        Set<String> types = new LinkedHashSet<>();
        tests.forEach(test -> types.add(test.replaceAll("#.*", "")));
        List<String> faults = new ArrayList<>();
        try (Stream<Path> all = Files.walk(sources)) {
            for (Path source : all.filter(path -> path.toString().endsWith("Test.java")).sorted().toList()) {
                String name = sources.relativize(source).toString().replaceAll("\\.java$", "").replaceAll("[/\\\\]", ".");
                if (!types.contains(name) && Files.readString(source, StandardCharsets.UTF_8).contains("@Test")) {
                    faults.add(name + " was not run to its end: nothing is reported of it");
                }
            }
        }
        return faults;
    }

    private static void reports(Path folder, Map<String, Runs> found) throws IOException, Wrong {
        if (!Files.isDirectory(folder)) {
            return;
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(path -> path.getFileName().toString().matches("TEST-.*\\.xml")).sorted().toList()) {
                try (InputStream in = Files.newInputStream(file)) {
                    report(in, found);
                } catch (XMLStreamException e) {
                    throw new Wrong(1, file + " can't be read: " + e.getMessage().replace('\n', ' '));
                }
            }
        }
    }

    private static void report(InputStream in, Map<String, Runs> found) throws XMLStreamException {
        XMLInputFactory factory = XMLInputFactory.newInstance();
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        XMLStreamReader xml = factory.createXMLStreamReader(in);
        Runs runs = new Runs();
        boolean passed = false;
        while (xml.hasNext()) {
            int event = xml.next();
            if (event == XMLStreamConstants.START_ELEMENT) {
                switch (xml.getLocalName()) {
                    case "testcase" -> {
                        // A method that is fed rows of data has them behind its name, as in method[row](1).
                        String method = String.valueOf(xml.getAttributeValue(null, "name")).replaceAll("(?s)[\\[(].*", "");
                        runs = found.computeIfAbsent(xml.getAttributeValue(null, "classname") + "#" + method, any -> new Runs());
                        passed = true;
                    }
                    case "failure", "error" -> {
                        runs.failed++;
                        passed = false;
                    }
                    case "skipped" -> {
                        runs.skipped++;
                        passed = false;
                    }
                    default -> { }
                }
            } else if (event == XMLStreamConstants.END_ELEMENT && xml.getLocalName().equals("testcase")) {
                runs.passed += passed ? 1 : 0;
            }
        }
    }
}
