package embershift.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.emulator.day.Day;
import embershift.emulator.experiment.Result;
import embershift.emulator.world.Module;
import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Repeat;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.model.RosterEntry;
import embershift.model.TunnelId;
import embershift.policy.HostCapacityEstimate;
import embershift.policy.Policy;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.function.UnaryOperator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Faults put into what the module is told or says, one at a time: the judge has to catch each, and
 * nothing else.
 */
public class MutationsTest {

    /**
     * Bears on what the module hears or decides: gets the method's name and arguments, and whom to
     * call on.
     */
    private interface Fault<T> {
        void meet(T behind, String method, Object[] arguments, Runnable unchanged);
    }

    private static <T> T faulty(Class<T> type, T behind, Fault<T> fault) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (proxy, method, arguments) -> {
                            fault.meet(
                                    behind,
                                    method.getName(),
                                    arguments,
                                    () -> {
                                        try {
                                            method.invoke(behind, arguments);
                                        } catch (InvocationTargetException e) {
                                            throw new IllegalStateException(e.getCause());
                                        } catch (IllegalAccessException e) {
                                            throw new IllegalStateException(e);
                                        }
                                    });
                            return null;
                        }));
    }

    private static Module.Maker maker(
            UnaryOperator<Deployment> told, Fault<NodeEvents> hears, Fault<Decisions> says) {
        return (deployment, truth) -> {
            Deployment heard = told.apply(deployment);
            Policy policy = new Policy(heard, new HostCapacityEstimate(heard));
            return (now, arrivals, decisions) ->
                    policy.round(
                            now,
                            news ->
                                    arrivals.accept(
                                            hears == null
                                                    ? news
                                                    : faulty(NodeEvents.class, news, hears)),
                            says == null ? decisions : faulty(Decisions.class, decisions, says));
        };
    }

    private static Module.Maker says(Fault<Decisions> fault) {
        return maker(UnaryOperator.identity(), null, fault);
    }

    private static Module.Maker hears(Fault<NodeEvents> fault) {
        return maker(UnaryOperator.identity(), fault, null);
    }

    private static Module.Maker told(Repeat repeat, DedupScope scope, double window) {
        return maker(
                deployment ->
                        other(
                                deployment,
                                deployment.warmUpTime(),
                                row ->
                                        new Deployment.Profile(
                                                row.id(),
                                                repeat,
                                                scope,
                                                window,
                                                row.setupGoal(),
                                                row.clientTimeout(),
                                                row.messageGoal(),
                                                row.credit())),
                null,
                null);
    }

    private static Module.Maker warmAtOnce() {
        return maker(deployment -> other(deployment, 0.01, UnaryOperator.identity()), null, null);
    }

    private static Deployment other(
            Deployment of, double warmAfter, UnaryOperator<Deployment.Profile> profile) {
        return new Deployment(
                of.seed(),
                of.nodeCount(),
                of.nodeIndex(),
                of.zone(),
                of.profiles().stream().map(profile).toList(),
                of.rosterOnRequest(),
                of.rosterCallDeadline(),
                of.mayProbe(),
                of.mayMessageNodes(),
                of.reportsCapacity(),
                of.mayCancel(),
                of.mayOverlap(),
                of.maxSetups(),
                of.supportsRetryAfter(),
                of.maxRetryAfter(),
                of.connectTimeout(),
                of.answerSlack(),
                of.drainGrace(),
                of.coldCapacityShare(),
                warmAfter,
                of.overloadMultiple(),
                of.overloadWindow(),
                of.retryBudget(),
                of.tunnelsPassThrough(),
                of.parkTime());
    }

    /**
     * Troubles enough for every rule: failing and mute hosts, drains, cold ones, a slow store, too
     * much traffic.
     */
    private static Day day(String repeat, String scope) {
        return Days.day(
                "[fleet]",
                "nodes = 4",
                "hosts = 12",
                "[[profile]]",
                "name = \"p\"",
                "repeat = \"" + repeat + "\"",
                "scope = \"" + scope + "\"",
                "window = 1.0",
                "[host]",
                "drain = \"kept\"",
                "drain-for = 6.0",
                "cold-from = 0.1",
                "warm-after = 30.0",
                "[rules]",
                "fall-multiple = 2.0",
                Days.trouble("half-answer", "hosts share 0.3", 2, 8, "part = 0.6"),
                Days.trouble("mute", "hosts share 0.1", 4, 3),
                Days.trouble("drain", "hosts share 0.25", 10, 3),
                Days.trouble("traffic", "clients", 12, 10, "factor = 3.0"),
                Days.trouble("crash", "hosts share 0.75", 20, 2),
                Days.trouble("drop", "clients share 0.8", 22.5, 4));
    }

    private static void again(
            Decisions behind, String method, Object[] arguments, Runnable unchanged) {
        unchanged.run();
        if (method.equals("decline")) {
            behind.decline((TunnelId) arguments[0], 0, DeclineReason.EXCESS);
        }
    }

    private static void swallow(
            Decisions behind, String method, Object[] arguments, Runnable unchanged) {
        if ((!method.equals("decline") && !method.equals("closeWithError"))
                || !arguments[0].toString().contains("7.")) {
            unchanged.run();
        }
    }

    private static void promise(
            Decisions behind, String method, Object[] arguments, Runnable unchanged) {
        if (method.equals("closeWithError")) {
            behind.decline((TunnelId) arguments[0], 0, DeclineReason.EXCESS);
        } else {
            unchanged.run();
        }
    }

    private static void twoAtOnce(
            Decisions behind, String method, Object[] arguments, Runnable unchanged) {
        unchanged.run();
        if (method.equals("sendSetup")) {
            behind.sendSetup((TunnelId) arguments[0], new HostId("h0"), 0);
        }
    }

    private static void answerAfterUp(
            Decisions behind, String method, Object[] arguments, Runnable unchanged) {
        unchanged.run();
        if (method.equals("move")) {
            behind.closeWithError((TunnelId) arguments[0]);
        }
    }

    private static void openThenDecline(
            NodeEvents behind, String method, Object[] arguments, Runnable unchanged) {
        if (method.equals("tunnelOpened")) {
            behind.setupEnded(
                    (TunnelId) arguments[0],
                    (Integer) arguments[1],
                    (HostId) arguments[2],
                    embershift.model.SetupOutcome.FULL,
                    0,
                    false);
        } else {
            unchanged.run();
        }
    }

    /** Hears of each host only that it is there, as if it neither drained nor went. */
    @SuppressWarnings("unchecked")
    private static void deafToDrains(
            NodeEvents behind, String method, Object[] arguments, Runnable unchanged) {
        if (method.equals("rosterChanged")) {
            behind.rosterChanged(
                    ((List<RosterEntry>) arguments[0])
                            .stream()
                                    .filter(listing -> listing.state() == RosterEntry.State.READY)
                                    .toList());
        } else if (!method.equals("rosterReplaced") || (Boolean) arguments[1]) {
            unchanged.run();
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"an answer given twice", says(MutationsTest::again), "repeatable", "all", 1},
            {"no answer", says(MutationsTest::swallow), "repeatable", "all", 1},
            {
                "closed with error after it was open",
                hears(MutationsTest::openThenDecline),
                "repeatable",
                "all",
                1
            },
            {"answer after UP", says(MutationsTest::answerAfterUp), "repeatable", "all", 1},
            {"two setups at once", says(MutationsTest::twoAtOnce), "repeatable", "all", 2},
            {
                "once-only repeated",
                told(Repeat.REPEATABLE, DedupScope.ALL, 1),
                "once-only",
                "all",
                2
            },
            {
                "declined though it may have run",
                says(MutationsTest::promise),
                "once-only",
                "all",
                2
            },
            {
                "referenced sent to another cell",
                told(Repeat.REFERENCED, DedupScope.ALL, 1),
                "referenced",
                "cell",
                2
            },
            {
                "referenced sent to another zone",
                told(Repeat.REFERENCED, DedupScope.ALL, 1),
                "referenced",
                "zone",
                2
            },
            {
                "referenced sent past its window",
                told(Repeat.REFERENCED, DedupScope.ALL, 60),
                "referenced",
                "all",
                2
            },
            {"a draining host used", hears(MutationsTest::deafToDrains), "repeatable", "all", 3},
            {"a cold host treated as warm", warmAtOnce(), "repeatable", "all", 4},
        };
    }

    @Test(dataProvider = "faults")
    public void eachFaultIsCaught(
            String fault, Module.Maker maker, String repeat, String scope, int rule) {
        Day day = day(repeat, scope);
        boolean caught = false;
        for (long seed = 1; seed <= 4 && !caught; seed++) {
            Result result = Days.play(day, maker, seed);
            caught = result.breaches().stream().anyMatch(line -> line.startsWith("rule " + rule));
        }
        assertTrue(caught, fault);
    }

    @DataProvider
    public Object[][] kinds() {
        return new Object[][] {
            {"repeatable", "all"},
            {"once-only", "all"},
            {"referenced", "all"},
            {"referenced", "cell"},
            {"referenced", "zone"}
        };
    }

    @Test(dataProvider = "kinds")
    public void withoutAFaultNothingIsFound(String repeat, String scope) {
        for (long seed = 1; seed <= 4; seed++) {
            assertEquals(
                    Days.play(day(repeat, scope), seed).breaches().toString(),
                    "[]",
                    "seed " + seed);
        }
    }
}
