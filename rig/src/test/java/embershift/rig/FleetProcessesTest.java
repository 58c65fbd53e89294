package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import embershift.rig.process.FleetPlay;
import embershift.rig.process.FleetSite;
import embershift.rig.process.Instances;
import embershift.rig.process.ManagerStand;
import embershift.rig.process.Program;
import embershift.rig.process.Ways;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.ITestResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Instances, nodes and hosts as processes and on sockets, with faults between them: lists,
 * revisions, releases, who is shut out.
 */
public class FleetProcessesTest {

    private static final double PATIENCE = 30;
    private static final String FLEET =
            "session-s = 1.5\nsettle-s = 0.5\npatience-s = 4\nsilent-s = 1.5\n";

    private Path folder;
    private FleetSite site;

    private void begin(int nodes, int hosts, String door) throws IOException {
        folder = Files.createTempDirectory("rig");
        site = new FleetSite(folder, 3, nodes, hosts, FLEET, door);
    }

    @AfterMethod
    public void end(ITestResult result) throws IOException {
        if (site != null) {
            site.close();
            site = null;
        }
        if (result.isSuccess()) {
            Instances.delete(folder);
        } else {
            System.out.println("what is left of the run: " + folder);
        }
    }

    private void revise(int status, String... words) throws IOException {
        String[] line = new String[words.length + 1];
        line[0] = "revise";
        System.arraycopy(words, 0, line, 1, words.length);
        FleetSite.Said said = site.fleet(line);
        assertEquals(said.status(), status, said.text());
    }

    private String said(String... words) {
        try {
            return site.fleet(words).text();
        } catch (IOException e) {
            return e.toString();
        }
    }

    private boolean stageIs(String begin) {
        String stage = site.get("rollout/stage");
        return stage != null && stage.startsWith(begin);
    }

    @Test
    public void revisionIsActedOnByAllAndAStoppedNodeIsSilentUntilItIsBroughtUp() throws Exception {
        begin(3, 3, "");
        for (String node : List.of("n1", "n2", "n3")) {
            FleetSite.await(
                    "a tunnel at " + node,
                    PATIENCE,
                    () -> String.valueOf(site.tunnel(node)).startsWith("UP"));
        }
        revise(0, "out/h1=worn", "sockets=900");
        for (String node : List.of("n1", "n2", "n3")) {
            site.awaitState(node, "CURRENT");
        }
        FleetSite.await("stage", PATIENCE, () -> stageIs("1 ALL"));
        FleetSite.await("floor", PATIENCE, () -> "1".equals(site.get("rollout/floor")));
        long told = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            assertTrue(site.tunnel("n1").startsWith("UP"));
        }
        assertEquals(site.setups("h1", null, told), 0);
        // One that stands still knows nothing of what comes next, and nobody says that it does.
        Program stopped = site.node("n2");
        stopped.stop();
        site.awaitState("n2", "SILENT");
        revise(0, "out/h2=worn");
        FleetSite.await("stage", PATIENCE, () -> stageIs("2 ALL"));
        // The state that is noted may be that of before the stage; the node's own trail is not.
        FleetSite.await(
                "n3 has taken it",
                PATIENCE,
                () -> said("audit", "--node", "n3").matches("(?s).*n3 +2 .*"));
        site.awaitState("n3", "CURRENT");
        assertEquals(site.state("n2"), "SILENT");
        assertEquals(site.get("rollout/floor"), "1");
        String whileStopped = String.valueOf(System.currentTimeMillis());
        long wentOn = System.nanoTime();
        stopped.goOn();
        site.awaitState("n2", "CURRENT");
        FleetSite.await("floor", PATIENCE, () -> "2".equals(site.get("rollout/floor")));
        long current = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            assertTrue(site.tunnel("n2").startsWith("UP"));
        }
        assertEquals(site.setups("h2", "n2", current), 0);
        assertTrue(current > wentOn);
        // The trails tell what each went by then, the one that stood still too.
        for (String[] then :
                new String[][] {
                    {"n2", "1", "by its trail"},
                    {"n3", "2", "(by its trail|last known; nothing is told since)"}
                }) {
            FleetSite.await(
                    then[0] + " went by " + then[1],
                    PATIENCE,
                    () ->
                            said("audit", "--node", then[0], "--at-time", whileStopped)
                                    .matches(
                                            "(?s).*" + then[0] + " +" + then[1] + " +" + then[2]
                                                    + ".*"));
        }
        assertTrue(said("audit", "--host", "h2").contains("out.h2=1"));
        Path picture = folder.resolve("audit.svg");
        said("audit", "--picture", picture.toString());
        assertTrue(Files.readString(picture).startsWith("<svg"));
        FleetSite.Said verify = site.fleet("audit", "--verify");
        assertEquals(verify.status(), 0, verify.text());
        FleetSite.Said who = site.fleet("audit", "--revision", "2");
        assertTrue(
                who.text().lines().filter(line -> line.startsWith("n")).count() == 3
                        && !who.text().contains("never"),
                who.text());
    }

    @Test
    public void poisonousRevisionStaysOnAFewAndOneMoreRevisionHealsIt() throws Exception {
        begin(3, 2, "");
        revise(0, "out/h1=worn");
        FleetSite.await("stage", PATIENCE, () -> stageIs("1 ALL"));
        FleetSite.await("floor", PATIENCE, () -> "1".equals(site.get("rollout/floor")));
        revise(0, "colour=red", "out/h2=worn");
        FleetSite.await("halt", PATIENCE, () -> stageIs("2 HALTED 1"));
        assertTrue(
                site.get("rollout/stage").contains("colour is not known here"),
                site.get("rollout/stage"));
        assertEquals(site.get("rollout/floor"), "1");
        // Nothing of it holds anywhere: h2 is in use.
        long halted = System.nanoTime();
        assertTrue(
                site.tunnel("n1").startsWith("UP")
                        && site.tunnel("n2").startsWith("UP")
                        && site.tunnel("n3").startsWith("UP"));
        assertEquals(site.setups("h2", null, halted), 3);
        String owner = site.awaitOwner("rollout", null);
        site.instances.kill(owner);
        site.awaitOwner("rollout", owner);
        revise(0, "--back-to", "1");
        FleetSite.await("stage", PATIENCE, () -> stageIs("3 ALL"));
        FleetSite.await("floor", PATIENCE, () -> "3".equals(site.get("rollout/floor")));
        FleetSite.Said refused = site.fleet("audit", "--between", "0," + Long.MAX_VALUE / 10_000);
        assertTrue(refused.text().contains("REFUSED"), refused.text());
    }

    /** Guards against a ban that inherits what nodes have refused, and is refused with it. */
    @Test
    public void immediateRevisionStartsFromTheLastGoodOneAndNotFromAHaltedOne() throws Exception {
        begin(3, 2, "");
        revise(0, "sockets=900");
        FleetSite.await("floor", PATIENCE, () -> "1".equals(site.get("rollout/floor")));
        revise(0, "colour=blue");
        FleetSite.await("halt", PATIENCE, () -> stageIs("2 HALTED 1"));
        FleetSite.Said made = site.fleet("revise", "--now", "out/h1=worn");
        assertTrue(
                made.text().contains("made revision 3 on revision 1; revision 2 stays halted"),
                made.text());
        FleetSite.await("floor", PATIENCE, () -> "3".equals(site.get("rollout/floor")));
        long banned = System.nanoTime();
        assertTrue(site.tunnel("n1").startsWith("UP") && site.tunnel("n2").startsWith("UP"));
        assertEquals(site.setups("h1", null, banned), 0);
        assertEquals(site.list("out/"), Map.of());
    }

    @Test
    public void olderProcessOfANameIsOutEverywhereAndNothingOfItIsTakenAnyMore() throws Exception {
        begin(2, 2, "");
        revise(0, "out/h1=worn");
        FleetSite.await("stage", PATIENCE, () -> stageIs("1 ALL"));
        Program older = site.node("n1");
        older.stop();
        site.awaitState("n1", "SILENT");
        Program newer = site.startNode("n1");
        site.awaitState("n1", "CURRENT");
        String trails = String.join(" ", site.list("trail/n1/").keySet());
        older.goOn();
        assertTrue(older.awaitFor(PATIENCE), "the older one goes on");
        assertEquals(older.await(), 5);
        assertTrue(
                older.output().contains("another process has the name n1 since"), older.output());
        assertTrue(newer.runs());
        assertEquals(site.state("n1"), "CURRENT");
        // What the older one would still have told was not taken: its trail is as it was, but for
        // what had come before.
        long older1 =
                site.list("trail/n1/").keySet().stream()
                        .map(key -> key.split("/")[2])
                        .distinct()
                        .count();
        assertTrue(older1 >= 1 && trails.length() > 0);
        // By hand: told why, it leaves in order.
        assertEquals(site.fleet("shut-out", "n2", "misbehaves").status(), 0);
        Program out = site.node("n2");
        assertTrue(out.awaitFor(PATIENCE));
        assertEquals(out.await(), 5);
        assertTrue(
                out.output().contains("shut out: by-hand misbehaves")
                        && out.output().contains("n2 leaving"),
                out.output());
        site.awaitState("n2", "SHUT_OUT");
        // A new incarnation is let in, and catches up before it is ready.
        site.startNode("n2");
        site.awaitState("n2", "CURRENT");
    }

    @Test
    public void listsComeFromOneOwnerAndAnOldOneThatGoesOnChangesNothing() throws Exception {
        begin(3, 3, "alone-s = 2\nspread-s = 1\n");
        String owner = site.awaitOwner("lists", null);
        FleetSite.await(
                "all led",
                PATIENCE,
                () ->
                        site.instances.names().stream()
                                        .mapToLong(
                                                name ->
                                                        site.counts(name)
                                                                .path("lists told whole")
                                                                .asLong())
                                        .sum()
                                >= 3);
        Instances.sleep(1);
        // Discovery receives calls from the owner alone, each waiting half a second.
        site.hosts.forgetCallers();
        long before = site.hosts.calls();
        Instances.sleep(3.5);
        assertEquals(site.hosts.callers(), 1, "connections that called in 3.5 s");
        assertTrue(
                site.hosts.calls() - before <= 8,
                "calls in 3.5 s: " + (site.hosts.calls() - before));
        site.hosts.lifecycle("h1", "terminating", false);
        Instances.sleep(1);
        long told = System.nanoTime();
        for (String node : List.of("n1", "n2", "n3")) {
            assertTrue(site.tunnel(node).startsWith("UP"));
        }
        assertEquals(site.setups("h1", null, told), 0);
        // Its words are late by more than its lease, and it stands still with them on the way.
        for (String node : List.of("n1", "n2", "n3")) {
            site.ways.set(new Ways.Way(owner, node), new Ways.State(false, 4, 0, 0));
        }
        // It says something to each of them in that time.
        Instances.sleep(1.5);
        site.instances.stop(owner);
        site.awaitOwner("lists", owner);
        site.hosts.lifecycle("h2", "terminating", false);
        Instances.sleep(1.5);
        long drained = System.nanoTime();
        site.instances.goOn(owner);
        for (int i = 0; i < 25; i++) {
            for (String node : List.of("n1", "n2", "n3")) {
                assertTrue(site.tunnel(node).startsWith("UP"));
            }
            Instances.sleep(0.2);
        }
        assertEquals(site.setups("h1", null, drained), 0);
        assertEquals(site.setups("h2", null, drained), 0);
        site.ways.clearAll();
        FleetSite.await(
                "what the old owner had on its way is refused, by its fence or its age",
                PATIENCE,
                () -> String.join("\n", site.list("trail/").values()).contains("duty=lists"));
        assertTrue(
                String.join("\n", site.list("trail/").values())
                        .matches("(?s).*duty=lists[^\n]*verdict=(OLD|VOID).*"));
        // With no owner at all each asks for itself.
        long calls = site.hosts.calls();
        site.instances.names().forEach(site.instances::stop);
        FleetSite.await(
                "each node asks for itself", PATIENCE, () -> site.hosts.calls() - calls >= 3);
        site.hosts.lifecycle("h1", "in_service", true);
        long back = System.nanoTime();
        FleetSite.await(
                "h1 is in use again",
                PATIENCE,
                () ->
                        String.valueOf(site.tunnel("n1")).startsWith("UP")
                                && site.setups("h1", "n1", back) > 0);
        site.instances.names().forEach(site.instances::goOn);
    }

    @Test
    public void releaseGoesOnByAnotherOwnerWithNeverMoreAwayThanStated() throws Exception {
        begin(2, 3, "");
        FleetSite.await(
                "nodes",
                PATIENCE,
                () -> site.state("n1").equals("CURRENT") && site.state("n2").equals("CURRENT"));
        try (FleetSite.Clients clients = site.new Clients(0.1)) {
            assertEquals(
                    site.fleet(
                                    "release",
                                    "start",
                                    "r1",
                                    "host:h1",
                                    "host:h2",
                                    "node:n1",
                                    "host:h3",
                                    "node:n2",
                                    "--size",
                                    "1",
                                    "--warm",
                                    "0.5",
                                    "--service",
                                    "0.8")
                            .status(),
                    0);
            FleetSite.await("the first part", PATIENCE, () -> !site.manager.events().isEmpty());
            String owner = site.awaitOwner("release", null);
            site.instances.stop(owner);
            String next = site.awaitOwner("release", owner);
            FleetSite.await("another part", PATIENCE, () -> site.manager.events().size() >= 4);
            site.instances.goOn(owner);
            site.instances.kill(next);
            FleetSite.await(
                    "the end of it, is " + site.get("release/state"),
                    2 * PATIENCE,
                    () -> "r1 done".equals(site.get("release/state")));
            assertEquals(site.manager.events().size(), 10, site.manager.events().toString());
            assertEquals(site.manager.mostAway(), 1, site.manager.events().toString());
            assertEquals(site.fleet("release", "start", "r1", "host:h1").status(), 1);
            assertTrue(clients.answers().getOrDefault("UP", 0) > 50, clients.answers().toString());
        }
    }

    @DataProvider
    public Object[][] ownersAfterAbort() {
        return new Object[][] {{"lives"}, {"is killed"}};
    }

    /** Guards against an aborted release that goes on once the next one is started. */
    @Test(dataProvider = "ownersAfterAbort")
    public void abortedReleaseDoesNotGoOnBehindTheNextOne(String owner) throws Exception {
        begin(2, 4, "");
        for (String node : List.of("n1", "n2")) {
            site.awaitState(node, "CURRENT");
        }
        try (FleetSite.Clients clients = site.new Clients(0.1)) {
            assertEquals(
                    site.fleet(
                                    "release", "start", "spring", "host:h1", "host:h2", "host:h3",
                                    "--warm", "3")
                            .status(),
                    0);
            FleetSite.await("the first part", PATIENCE, () -> !site.manager.events().isEmpty());
            assertEquals(site.fleet("release", "abort").status(), 0);
            FleetSite.Said summer = site.fleet("release", "start", "summer", "host:h4");
            assertEquals(summer.status(), 0, summer.text());
            if (owner.equals("is killed")) {
                site.instances.kill(site.awaitOwner("release", null));
            }
            FleetSite.await(
                    "the end of it",
                    2 * PATIENCE,
                    () -> "summer done".equals(site.get("release/state")));
            List<String> restarted =
                    site.manager.events().stream()
                            .filter(ManagerStand.Event::away)
                            .map(ManagerStand.Event::part)
                            .toList();
            assertEquals(restarted, List.of("host h1", "host h4"));
            assertTrue(
                    summer.text().contains("waits for the end of release spring"), summer.text());
            assertTrue(clients.answers().getOrDefault("UP", 0) > 10, clients.answers().toString());
            assertEquals(site.manager.mostAway(), 1, site.manager.events().toString());
        }
    }

    @Test
    public void ownerThatNodesCannotHearGivesTheDutyUpAndOneWithoutTheRecordDoesNothing()
            throws Exception {
        begin(2, 2, "");
        revise(0, "out/h1=worn");
        FleetSite.await("floor", PATIENCE, () -> "1".equals(site.get("rollout/floor")));
        // Cut off from the nodes, in both directions, not from the record.
        String owner = site.awaitOwner("rollout", null);
        List.of("n1", "n2").forEach(node -> site.ways.cutBoth(owner, node, true));
        revise(0, "out/h2=worn", "--remove", "out/h1");
        String next = site.awaitOwner("rollout", owner);
        FleetSite.await("floor", PATIENCE, () -> "2".equals(site.get("rollout/floor")));
        // The reverse: it hears the nodes, and neither the other instances nor they it.
        List.of("n1", "n2").forEach(node -> site.ways.cutBoth(owner, node, false));
        site.instances.names().stream()
                .filter(name -> !name.equals(next))
                .forEach(name -> site.ways.cutBoth(next, name, true));
        site.awaitOwner("rollout", next);
        revise(0, "--remove", "out/h2");
        FleetSite.await("floor", PATIENCE, () -> "3".equals(site.get("rollout/floor")));
        assertTrue(site.tunnel("n1").startsWith("UP") && site.tunnel("n2").startsWith("UP"));
        site.ways.clearAll();
        assertEquals(site.fleet("audit", "--verify").status(), 0);
    }

    @Test
    public void releaseHaltsWithoutAMajorityWhileNodesPlaceOnAndGoesOnAfter() throws Exception {
        begin(2, 3, "");
        FleetSite.await(
                "nodes",
                PATIENCE,
                () -> site.state("n1").equals("CURRENT") && site.state("n2").equals("CURRENT"));
        assertEquals(
                site.fleet(
                                "release",
                                "start",
                                "r2",
                                "host:h1",
                                "node:n1",
                                "host:h2",
                                "host:h3",
                                "--size",
                                "1",
                                "--warm",
                                "0.3",
                                "--service",
                                "0")
                        .status(),
                0);
        FleetSite.await("the first part", PATIENCE, () -> !site.manager.events().isEmpty());
        List<String> away = site.instances.names().subList(0, 2);
        away.forEach(site.instances::stop);
        // What had been called for may end; nothing more is begun once the owner's time is over.
        Instances.sleep(2);
        long begun = site.manager.events().stream().filter(event -> event.away()).count();
        Instances.sleep(2);
        assertEquals(site.manager.events().stream().filter(event -> event.away()).count(), begun);
        assertTrue(site.tunnel("n2").startsWith("UP"));
        away.forEach(site.instances::goOn);
        FleetSite.await(
                "the end of it", 2 * PATIENCE, () -> "r2 done".equals(site.get("release/state")));
        assertEquals(site.manager.events().size(), 8);
        assertEquals(site.manager.mostAway(), 1, site.manager.events().toString());
    }

    @Test
    public void fleetUnderDrawnFaultsBreaksNothingAndComesRight() throws Exception {
        folder = Files.createTempDirectory("rig");
        FleetPlay.Report report = FleetPlay.play(7, 15, 3, 4, folder);
        assertNull(report.broken(), report.toString());
        for (String what : List.of("revisions taken", "setups judged", "changes 0", "clients UP")) {
            assertTrue(report.reached().getOrDefault(what, 0) >= 5, what + " in " + report);
        }
    }

    @Test
    public void nodeThatMayNotBeStaleLeavesInOrderAndOneThatServesServesOn() throws Exception {
        begin(1, 2, "stale = \"leave\"\nstale-after-s = 2\nalone-s = 1\nspread-s = 0.5\n");
        site.awaitState("n1", "CURRENT");
        Program node = site.node("n1");
        site.instances.names().forEach(site.instances::stop);
        assertTrue(node.awaitFor(PATIENCE));
        assertEquals(node.await(), 6);
        assertTrue(
                node.output().contains("no instance is heard")
                        && node.output().contains("n1 leaving"),
                node.output());
        site.instances.names().forEach(site.instances::goOn);
        site.startNode("n1");
        site.awaitState("n1", "CURRENT");
    }
}
