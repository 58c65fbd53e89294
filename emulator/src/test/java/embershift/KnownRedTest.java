package embershift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import javax.tools.ToolProvider;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * {@code .ci/run} on a small tree, with a Maven that does no more than lay reports as Surefire
 * writes them.
 */
public class KnownRedTest {

    private static final String LISTED = "p.SomeTest#fails, it does, for a fault, issue 7\n";
    private static final String GREEN = "<testcase name=\"passes\" classname=\"p.SomeTest\"/>";
    private static final String RED =
            "<testcase name=\"fails\" classname=\"p.SomeTest\"><failure message=\"a &lt; b\"/></testcase>";
    private static final String OTHER = "<testcase name=\"a\" classname=\"p.OtherTest\"/>";

    private Path compiled;
    private Tree tree;

    /** Once, and not at each of the two calls that each case makes. */
    @BeforeClass
    public void compile() throws IOException {
        compiled = Files.createTempDirectory("known-red");
        assertEquals(
                ToolProvider.getSystemJavaCompiler()
                        .run(null, null, null, "-d", compiled.toString(), "../.ci/KnownRed.java"),
                0);
    }

    @AfterClass
    public void forget() throws IOException {
        Tree.delete(compiled);
    }

    @BeforeMethod
    public void begin() throws IOException {
        tree = new Tree();
        tree.copy(".ci/run");
        tree.copy(".ci/KnownRed.java");
        tree.write("m/pom.xml", "");
        tree.write(
                "m/src/test/java/p/SomeTest.java",
                "@Test public void passes() { } @Test public void fails() { }"
                        + " @Test public void gone() { }");
        tree.write(
                "m/src/test/java/p/OtherTest.java",
                "@Test public void a() { } @Test public void b() { } @Test public void c() { }");
        // Left over by an earlier run: it must not be judged.
        tree.write("m/target/surefire-reports/TEST-old.xml", suite(RED));
        tree.program(
                "bin/mvn",
                "echo \"mvn $*\"\n[ -d laid ] && mkdir -p m/target && cp -r laid m/target/surefire-reports\n[ ! -f broken ]\n");
        tree.program(
                "bin/java",
                "[ \"$1\" = .ci/KnownRed.java ] || exit 9\nexec '"
                        + Path.of(System.getProperty("java.home"), "bin", "java")
                        + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp '"
                        + compiled
                        + "' KnownRed \"${@:2}\"\n");
    }

    @AfterMethod
    public void end() throws IOException {
        tree.close();
    }

    private static String suite(String cases) {
        return "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite name=\"TestSuite\">"
                + cases
                + "</testsuite>";
    }

    private Tree.Ended run(String listed) throws Exception {
        tree.write("KNOWN-RED.txt", "# a comment\n\n" + listed);
        return tree.run(Map.of(), ".ci/run");
    }

    @Test
    public void withNothingListedItIsTheTestCommandAlone() throws Exception {
        assertEquals(run(""), new Tree.Ended(0, "mvn -B verify\n"));
        tree.write("broken", "");
        assertEquals(run(""), new Tree.Ended(1, "mvn -B verify\n"));
    }

    @Test
    public void listedTestThatFailsIsPassedOverAndPrinted() throws Exception {
        // Here as it is called in earnest.
        Files.delete(tree.root.resolve("bin/java"));
        tree.write("laid/TEST-TestSuite.xml", suite(GREEN + RED + OTHER));
        Tree.Ended ended = run(LISTED);
        assertEquals(ended.status(), 0, ended.text());
        String known = "known red: p.SomeTest#fails: it does, for a fault (issue 7)\n";
        assertEquals(
                ended.text(),
                known
                        + "mvn -B verify -Dmaven.test.failure.ignore=true\nall tests passed but for 1 known red:\n"
                        + known);
    }

    @Test
    public void buildThatFailsOtherwiseEndsItThoughJustTheListedTestFailed() throws Exception {
        tree.write("laid/TEST-TestSuite.xml", suite(GREEN + RED + OTHER));
        tree.write("broken", "");
        Tree.Ended ended = run(LISTED);
        assertEquals(ended.status(), 1, ended.text());
        assertFalse(ended.text().contains("passed"), ended.text());
    }

    @DataProvider
    public Object[][] wrongFiles() {
        return new Object[][] {
            {
                "p.OtherTest#a, cause, issue 7\np.OtherTest#b, cause, issue 7\np.OtherTest#c, cause, issue 7\n"
                        + LISTED,
                "4 tests are listed"
            },
            {"p.SomeTest#nowhere, a cause, issue 7\n", "there is no such test"},
            {"p.NoTest#fails, a cause, issue 7\n", "there is no such test"},
            {"p.SomeTest#fails, , issue 7\n", "there is no cause"},
            {"p.SomeTest#fails, issue 7\n", "wanted: "},
            {"p.SomeTest#fails, a cause\n", "wanted: "},
            {"p.SomeTest#fails, a cause, issue\n", "wanted: "},
            {LISTED + LISTED, "listed already"},
        };
    }

    @Test(dataProvider = "wrongFiles")
    public void fileThatIsWrongEndsItBeforeAnythingIsBuilt(String listed, String why)
            throws Exception {
        Tree.Ended ended = run(listed);
        assertEquals(ended.status(), 2, ended.text());
        assertTrue(
                ended.text().startsWith("KNOWN-RED.txt: ") && ended.text().contains(why),
                ended.text());
        assertEquals(ended.text().lines().count(), 1, ended.text());
    }

    @DataProvider
    public Object[][] wrongRuns() {
        String skipped = "<testcase name=\"fails\" classname=\"p.SomeTest\"><skipped/></testcase>";
        return new Object[][] {
            {
                suite(GREEN + RED + OTHER + RED.replace("fails", "gone")),
                "p.SomeTest#gone failed and is not listed"
            },
            {
                suite(
                        GREEN
                                + RED
                                + OTHER
                                + RED.replace("failure", "error").replace("fails", "rows[1](2)")),
                "p.SomeTest#rows failed and is not listed"
            },
            {
                suite(GREEN + RED.replaceAll("<failure.*/>", "") + OTHER),
                "p.SomeTest#fails is listed and has become green: take its line out"
            },
            {suite(GREEN + OTHER), "p.SomeTest#fails is listed and was not run"},
            {suite(GREEN + OTHER + skipped), "p.SomeTest#fails is listed and was skipped"},
            {suite(GREEN + RED), "p.OtherTest was not run to its end: nothing is reported of it"},
            {suite(GREEN + RED + OTHER).replace("</testsuite>", ""), "can't be read"},
        };
    }

    @Test(dataProvider = "wrongRuns")
    public void runThatIsNotAsListedEndsItThoughMavenIsContent(String report, String why)
            throws Exception {
        tree.write("laid/TEST-TestSuite.xml", report);
        Tree.Ended ended = run(LISTED);
        assertEquals(ended.status(), 1, ended.text());
        assertTrue(
                ended.text()
                                .lines()
                                .reduce((one, other) -> other)
                                .orElseThrow()
                                .startsWith("KNOWN-RED.txt: ")
                        && ended.text().contains(why),
                ended.text());
    }
}
