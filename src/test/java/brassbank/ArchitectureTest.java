package brassbank;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.AccessTarget;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/** What keeps a run replayable, and decisions and network apart, holds for code yet to come too. */
@AnalyzeClasses(
    packages = {"brassbank", "ashspar"},
    importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  /** Types with a clock or randomness of the system's behind them, or an order by identity. */
  private static final Set<String> FROM_THE_SYSTEM =
      Set.of(
          "java.util.concurrent.ThreadLocalRandom",
          "java.security.SecureRandom",
          "java.time.Clock",
          "java.util.Timer",
          "java.util.IdentityHashMap");

  /** Methods that ask the system, or whose answer differs from one JVM to the next. */
  private static final Set<String> ASKS_THE_SYSTEM =
      Set.of(
          "java.lang.System.nanoTime",
          "java.lang.System.currentTimeMillis",
          "java.lang.System.identityHashCode",
          "java.lang.Math.random",
          "java.lang.Thread.sleep",
          "java.util.UUID.randomUUID",
          "java.util.Collections.shuffle",
          "java.util.random.RandomGenerator.getDefault");

  /** Their iteration order is salted anew in each JVM; without elements there is none. */
  private static final Set<String> SALTED =
      Set.of(
          "java.util.Set.of",
          "java.util.Set.copyOf",
          "java.util.Map.of",
          "java.util.Map.ofEntries",
          "java.util.Map.copyOf");

  private static boolean asksTheSystem(JavaAccess<?> access) {
    AccessTarget target = access.getTarget();
    String owner = target.getOwner().getName();
    String name = owner + "." + target.getName();
    boolean bare =
        target instanceof AccessTarget.CodeUnitAccessTarget unit
            && unit.getRawParameterTypes().isEmpty();
    boolean unseeded =
        bare
            && (name.equals("java.util.Random.<init>")
                || name.equals("java.util.SplittableRandom.<init>")
                || name.equals("java.util.Date.<init>"));
    boolean now = owner.startsWith("java.time.") && target.getName().equals("now");
    return FROM_THE_SYSTEM.contains(owner)
        || ASKS_THE_SYSTEM.contains(name)
        || unseeded
        || now
        || (SALTED.contains(name) && !bare);
  }

  @ArchTest
  static void onlyTheSourcesAskTheSystemForTimeOrChance(JavaClasses program) {
    noClasses()
        .that()
        .resideOutsideOfPackages("brassbank.sources", "brassbank.load")
        .should()
        .accessTargetWhere(
            describe("it asks the system", (JavaAccess<?> access) -> asksTheSystem(access)))
        .check(program);
  }

  @ArchTest
  static void onlyItsOwnPackageKnowsGrizzlyAndOnlyTheCommandLineKnowsThat(JavaClasses program) {
    noClasses()
        .that()
        .resideOutsideOfPackage("brassbank.grizzly")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.glassfish.grizzly..")
        .check(program);
    noClasses()
        .that()
        .resideOutsideOfPackages("brassbank", "brassbank.grizzly")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("brassbank.grizzly")
        .check(program);
  }

  @ArchTest
  static void theModuleKnowsValuesOnly(JavaClasses program) {
    onlyKnows("ashspar", "ashspar.limits").check(program);
    isPure("ashspar").check(program);
    onlyKnows("ashspar.limits").check(program);
    isPure("ashspar.limits").check(program);
  }

  @ArchTest
  static void theLimitsOnSlowPeersAreValuesAndKnowNoOther(JavaClasses program) {
    onlyKnows("brassbank.relay.limits").check(program);
    isPure("brassbank.relay.limits").check(program);
  }

  @ArchTest
  static void theLoadToolSharesNothingWithTheProgram(JavaClasses program) {
    onlyKnows("brassbank.load").check(program);
    noClasses()
        .that()
        .resideOutsideOfPackages("brassbank", "brassbank.load")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("brassbank.load")
        .check(program);
  }

  @ArchTest
  static void onlyTheReadersOfOptionsAndScriptsKnowTheTomlLibrary(JavaClasses program) {
    noClasses()
        .that()
        .doNotHaveFullyQualifiedName("brassbank.config.file.OptionsFile")
        .and()
        .doNotHaveFullyQualifiedName("brassbank.sim.fault.Script")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.tomlj..")
        .check(program);
    onlyKnows("brassbank.config.file", "brassbank.relay.limits", "brassbank.membership")
        .check(program);
  }

  @ArchTest
  static void routesKnowValuesOnly(JavaClasses program) {
    onlyKnows("brassbank.route").check(program);
    isPure("brassbank.route").check(program);
  }

  @ArchTest
  static void theFacadeTouchesNoSocketNoFileAndNoThread(JavaClasses program) {
    isPure("brassbank.decide").check(program);
  }

  /** Of the project's own packages it knows these only. */
  private static ArchRule onlyKnows(String packageName, String... others) {
    List<String> known = new ArrayList<>(List.of(packageName));
    known.addAll(Arrays.asList(others));
    return noClasses()
        .that()
        .resideInAPackage(packageName)
        .should()
        .dependOnClassesThat(
            describe(
                "are the project's, but not of " + known,
                (JavaClass other) ->
                    (other.getPackageName().startsWith("brassbank")
                            || other.getPackageName().startsWith("ashspar"))
                        && !known.contains(other.getPackageName())));
  }

  /** No input or output, no thread; an address is a value, and so is a failure to read one. */
  private static ArchRule isPure(String packageName) {
    return noClasses()
        .that()
        .resideInAPackage(packageName)
        .should()
        .dependOnClassesThat(
            describe(
                "do input, output or threads",
                (JavaClass known) ->
                    List.of("java.io", "java.nio", "java.util.concurrent", "java.util.logging")
                            .stream()
                            .anyMatch(known.getPackageName()::startsWith)
                        || (known.getPackageName().equals("java.net")
                            && !known.getSimpleName().startsWith("Inet")
                            && !known.getSimpleName().equals("UnknownHostException"))
                        || known.isEquivalentTo(Thread.class)
                        || known.isEquivalentTo(Process.class)));
  }

  /** Two readers of one protocol check each other; one that both share would agree with itself. */
  @ArchTest
  static void theSimulatedActorsShareNoCodeWithTheProxy(JavaClasses program) {
    onlyKnows(
            "brassbank.sim.actor", "brassbank.sim.net", "brassbank.sim.event", "brassbank.sim.time")
        .check(program);
    isPure("brassbank.sim.check").check(program);
  }

  @ArchTest
  static void packagesPointOneWay(JavaClasses program) {
    onlyKnows("brassbank.cli").check(program);
    onlyKnows("brassbank.sources").check(program);
    onlyKnows("brassbank.rehearsal").check(program);
    onlyKnows("brassbank.log", "brassbank.sources").check(program);
    onlyKnows("brassbank.net", "brassbank.log", "brassbank.sources").check(program);
    onlyKnows("brassbank.grizzly", "brassbank.net", "brassbank.log", "brassbank.sources")
        .check(program);
    onlyKnows(
            "brassbank.relay",
            "brassbank.relay.limits",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    onlyKnows("brassbank.lifecycle").check(program);
    isPure("brassbank.lifecycle").check(program);
    onlyKnows("brassbank.handover", "brassbank.decide", "brassbank.log", "brassbank.sources")
        .check(program);
    onlyKnows("brassbank.management", "brassbank.net", "brassbank.log").check(program);
    onlyKnows(
            "brassbank.decide",
            "ashspar",
            "ashspar.limits",
            "brassbank.lifecycle",
            "brassbank.log",
            "brassbank.subsets",
            "brassbank.sources")
        .check(program);
    onlyKnows(
            "brassbank.config", "ashspar", "ashspar.wire", "brassbank.decide", "brassbank.sources")
        .check(program);
    onlyKnows(
            "brassbank.forward",
            "ashspar",
            "brassbank.decide",
            "brassbank.relay",
            "brassbank.relay.limits",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    onlyKnows(
            "brassbank.front",
            "brassbank.forward",
            "brassbank.decide",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    onlyKnows(
            "brassbank.discovery",
            "brassbank.forward",
            "brassbank.decide",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    onlyKnows("brassbank.sim.time").check(program);
    onlyKnows("brassbank.sim.net", "brassbank.sim.time").check(program);
    onlyKnows("brassbank.sim.event", "brassbank.sim.time").check(program);
    onlyKnows("brassbank.sim.check", "brassbank.sim.event").check(program);
    slices().matching("brassbank.sim.(*)..").should().beFreeOfCycles().check(program);
    slices().matching("brassbank.(*)..").should().beFreeOfCycles().check(program);
  }

  /** It meets the program as processes only, and is judged by the simulation's rules. */
  @ArchTest
  static void theLabKnowsTheSimulationAndNothingOfTheProgram(JavaClasses program) {
    onlyKnows(
            "brassbank.lab",
            "brassbank.sim",
            "brassbank.sim.actor",
            "brassbank.sim.check",
            "brassbank.sim.cli",
            "brassbank.sim.event",
            "brassbank.sim.fault",
            "brassbank.sim.net",
            "brassbank.sim.proxy",
            "brassbank.sim.time",
            "brassbank.cli",
            "brassbank.sources")
        .check(program);
    noClasses()
        .that()
        .resideOutsideOfPackages("brassbank", "brassbank.lab")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("brassbank.lab")
        .check(program);
  }

  @ArchTest
  static void membershipKnowsValuesOnlyAndNothingOfTheProgram(JavaClasses program) {
    onlyKnows("brassbank.membership").check(program);
    isPure("brassbank.membership").check(program);
    onlyKnows("brassbank.membership.wire", "brassbank.membership").check(program);
    onlyKnows(
            "brassbank.fleet",
            "brassbank.membership",
            "brassbank.membership.wire",
            "brassbank.shares",
            "brassbank.shares.wire",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    onlyKnows("brassbank.subsets").check(program);
    isPure("brassbank.subsets").check(program);
    onlyKnows("brassbank.shares").check(program);
    isPure("brassbank.shares").check(program);
    onlyKnows("brassbank.shares.wire", "brassbank.shares", "brassbank.membership.wire")
        .check(program);
    // Whoever is in no fleet loads none of it: only what is handed on is known elsewhere.
    noClasses()
        .that()
        .resideOutsideOfPackages(
            "brassbank.membership..",
            "brassbank.shares.wire",
            "brassbank.fleet",
            "brassbank.proxy",
            "brassbank.sim..")
        .should()
        .dependOnClassesThat(
            describe(
                "are membership's, and no mere values",
                (JavaClass known) ->
                    known.getPackageName().startsWith("brassbank.membership")
                        && !List.of("MembershipConfig", "Settings", "Update")
                            .contains(known.getSimpleName())))
        .check(program);
  }

  @ArchTest
  static void aGatewaysLinkPointsDownAndNothingElseLoadsIt(JavaClasses program) {
    String link = "brassbank.gateway.link";
    onlyKnows(link + ".frame").check(program);
    onlyKnows(link + ".mux", link + ".frame").check(program);
    onlyKnows(link + ".tls", link + ".frame", "brassbank.sources").check(program);
    onlyKnows(
            link,
            link + ".frame",
            link + ".mux",
            link + ".tls",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    noClasses()
        .that()
        .resideOutsideOfPackage("brassbank.gateway..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("brassbank.gateway..")
        .check(program);
    noClasses()
        .that()
        .resideOutsideOfPackage(link + ".tls")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("javax.net.ssl..", "java.security..")
        .check(program);
    // Bytes in a buffer are values; what moves them is not.
    noClasses()
        .that()
        .resideInAnyPackage(link + ".frame", link + ".mux")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..",
            "java.net..",
            "java.nio.channels..",
            "java.nio.file..",
            "java.util.concurrent..")
        .check(program);
  }
}
