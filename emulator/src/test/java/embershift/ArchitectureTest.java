package embershift;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** Who may know whom: docs/architecture.md as rules. */
public class ArchitectureTest {

    private static final JavaClasses PROGRAM =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("embershift");

    @Test
    public void eachLayerIsKnownOnlyToThoseThatBuildOnIt() {
        layeredArchitecture()
                .consideringAllDependencies()
                .layer("model")
                .definedBy("embershift.model")
                .layer("policy")
                .definedBy("embershift.policy")
                .layer("transport")
                .definedBy("embershift.transport")
                .layer("protocol")
                .definedBy("embershift.protocol")
                .layer("routing")
                .definedBy("embershift.routing")
                .layer("operations")
                .definedBy("embershift.operations")
                .layer("adapter")
                .definedBy("embershift.adapter")
                .layer("program")
                .definedBy("embershift.program")
                .layer("storage")
                .definedBy("embershift.storage")
                .layer("raft")
                .definedBy("embershift.raft")
                .layer("fleet")
                .definedBy("embershift.fleet..")
                .layer("door")
                .definedBy("embershift.door")
                .layer("hosted")
                .definedBy("embershift.hosted")
                .layer("rig")
                .definedBy(
                        "embershift.rig",
                        "embershift.rig.history..",
                        "embershift.rig.process..",
                        "embershift.rig.world..")
                .layer("scale")
                .definedBy("embershift.rig.scale..")
                .layer("emulator")
                .definedBy("embershift.emulator..")
                .whereLayer("policy")
                .mayOnlyBeAccessedByLayers("routing", "adapter", "scale", "emulator")
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers(
                        "routing", "operations", "program", "door", "hosted", "scale", "emulator")
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers(
                        "routing",
                        "operations",
                        "adapter",
                        "program",
                        "door",
                        "hosted",
                        "scale",
                        "emulator")
                .whereLayer("routing")
                .mayOnlyBeAccessedByLayers("operations", "program", "door", "scale", "emulator")
                .whereLayer("operations")
                .mayOnlyBeAccessedByLayers("program", "door", "scale")
                .whereLayer("adapter")
                .mayOnlyBeAccessedByLayers("program")
                .whereLayer("program")
                .mayOnlyBeAccessedByLayers("door", "scale", "emulator")
                .whereLayer("storage")
                .mayOnlyBeAccessedByLayers("raft", "hosted", "rig")
                .whereLayer("raft")
                .mayOnlyBeAccessedByLayers("fleet", "hosted", "rig")
                .whereLayer("fleet")
                .mayOnlyBeAccessedByLayers("door", "hosted", "rig", "scale")
                .whereLayer("door")
                .mayOnlyBeAccessedByLayers("hosted", "rig", "scale")
                .whereLayer("hosted")
                .mayOnlyBeAccessedByLayers("rig")
                .whereLayer("rig")
                .mayOnlyBeAccessedByLayers("scale", "emulator")
                .whereLayer("scale")
                .mayOnlyBeAccessedByLayers("rig")
                .whereLayer("emulator")
                .mayNotBeAccessedByAnyLayer()
                .check(PROGRAM);
    }

    @Test
    public void packagesOfTheStoreAndItsControllersBuildOnOneAnother() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("digest")
                .definedBy("embershift.fleet.digest")
                .layer("store")
                .definedBy("embershift.fleet.store")
                .layer("lease")
                .definedBy("embershift.fleet.lease")
                .layer("endpoints")
                .definedBy("embershift.fleet.endpoints")
                .layer("audit")
                .definedBy("embershift.fleet.audit")
                .layer("rollout")
                .definedBy("embershift.fleet.rollout")
                .layer("restart")
                .definedBy("embershift.fleet.restart")
                .whereLayer("digest")
                .mayOnlyBeAccessedByLayers("audit", "rollout")
                .whereLayer("store")
                .mayOnlyBeAccessedByLayers("lease", "endpoints", "audit")
                .whereLayer("lease")
                .mayOnlyBeAccessedByLayers("endpoints")
                .whereLayer("endpoints")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("audit")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("rollout")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("restart")
                .mayNotBeAccessedByAnyLayer()
                .check(PROGRAM);
    }

    @Test
    public void theModuleStandsOnNothingAndDoesNoInputOrOutput() {
        classes()
                .that()
                .resideInAnyPackage("embershift.model", "embershift.policy")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "embershift.model",
                        "embershift.policy",
                        "java.lang",
                        "java.lang.invoke",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "java.util.zip",
                        "java.nio",
                        "java.nio.charset")
                .check(PROGRAM);
    }

    @Test
    public void theAgreementAndTheRecordDoNoInputOrOutputOfTheirOwn() {
        // RaftPersistence is the one that a disk is handed to.
        classes()
                .that()
                .resideInAnyPackage("embershift.raft", "embershift.fleet..")
                .and()
                .doNotHaveSimpleName("RaftPersistence")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "embershift.raft",
                        "embershift.fleet..",
                        "java.lang",
                        "java.lang.invoke",
                        "java.lang.runtime",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "java.util.zip",
                        "java.nio",
                        "java.nio.charset",
                        "java.io",
                        "java.security")
                .check(PROGRAM);
        noClasses()
                .that()
                .resideInAnyPackage("embershift.raft", "embershift.fleet..")
                .and()
                .doNotHaveSimpleName("RaftPersistence")
                .should()
                .dependOnClassesThat()
                .haveNameMatching("java\\.io\\.(File|RandomAccess|Console).*")
                .check(PROGRAM);
    }

    @Test
    public void theModuleHasNoClockAndNoThreads() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "embershift.model",
                        "embershift.policy",
                        "embershift.raft",
                        "embershift.fleet..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(PROGRAM);
    }

    @Test
    public void thePlatformsNodeHoldsOnlyItsTwoLibraries() {
        classes()
                .that()
                .resideInAnyPackage(
                        "embershift.transport",
                        "embershift.protocol",
                        "embershift.routing",
                        "embershift.operations",
                        "embershift.adapter",
                        "embershift.program")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "embershift..",
                        "java..",
                        "sun.misc",
                        "org.xnio..",
                        "com.beust.jcommander..")
                .check(PROGRAM);
    }
}
