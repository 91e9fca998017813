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

/**
 * Checks the rules for dependencies between packages that keep runs reproducible, and decisions
 * separate from the network.
 */
@AnalyzeClasses(
    packages = {"brassbank", "ashspar"},
    importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  /** Types that read the system clock or system randomness, or that order by identity. */
  private static final Set<String> NONDETERMINISTIC_TYPES =
      Set.of(
          "java.util.concurrent.ThreadLocalRandom",
          "java.security.SecureRandom",
          "java.time.Clock",
          "java.util.Timer",
          "java.util.IdentityHashMap");

  /** Methods that read system state, or whose result differs between JVMs. */
  private static final Set<String> NONDETERMINISTIC_METHODS =
      Set.of(
          "java.lang.System.nanoTime",
          "java.lang.System.currentTimeMillis",
          "java.lang.System.identityHashCode",
          "java.lang.Math.random",
          "java.lang.Thread.sleep",
          "java.util.UUID.randomUUID",
          "java.util.Collections.shuffle",
          "java.util.random.RandomGenerator.getDefault");

  /**
   * Factories of collections whose iteration order differs between JVMs. Without elements there is
   * no order.
   */
  private static final Set<String> RANDOMLY_ORDERED_FACTORIES =
      Set.of(
          "java.util.Set.of",
          "java.util.Set.copyOf",
          "java.util.Map.of",
          "java.util.Map.ofEntries",
          "java.util.Map.copyOf");

  private static boolean isNondeterministic(JavaAccess<?> access) {
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
    return NONDETERMINISTIC_TYPES.contains(owner)
        || NONDETERMINISTIC_METHODS.contains(name)
        || unseeded
        || now
        || (RANDOMLY_ORDERED_FACTORIES.contains(name) && !bare);
  }

  @ArchTest
  static void onlyTheSourcesPackageReadsSystemTimeOrRandomness(JavaClasses program) {
    noClasses()
        .that()
        .resideOutsideOfPackages("brassbank.sources", "brassbank.load")
        .should()
        .accessTargetWhere(
            describe("is nondeterministic", (JavaAccess<?> access) -> isNondeterministic(access)))
        .check(program);
  }

  @ArchTest
  static void onlyTheGrizzlyPackageUsesGrizzlyAndOnlyTheProgramUsesThatPackage(
      JavaClasses program) {
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
  static void theDecisionModuleUsesValuesOnly(JavaClasses program) {
    dependsOnlyOn("ashspar", "ashspar.limits").check(program);
    isPure("ashspar").check(program);
    dependsOnlyOn("ashspar.limits").check(program);
    isPure("ashspar.limits").check(program);
  }

  @ArchTest
  static void theRelayLimitsUseValuesOnly(JavaClasses program) {
    dependsOnlyOn("brassbank.relay.limits").check(program);
    isPure("brassbank.relay.limits").check(program);
  }

  @ArchTest
  static void theLoadToolSharesNoCodeWithTheProgram(JavaClasses program) {
    dependsOnlyOn("brassbank.load").check(program);
    noClasses()
        .that()
        .resideOutsideOfPackages("brassbank", "brassbank.load")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("brassbank.load")
        .check(program);
  }

  @ArchTest
  static void onlyTheReadersOfOptionsAndScriptsUseTheTomlLibrary(JavaClasses program) {
    noClasses()
        .that()
        .doNotHaveFullyQualifiedName("brassbank.config.file.OptionsFile")
        .and()
        .doNotHaveFullyQualifiedName("brassbank.sim.fault.Script")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.tomlj..")
        .check(program);
    dependsOnlyOn("brassbank.config.file", "brassbank.relay.limits", "brassbank.membership")
        .check(program);
  }

  @ArchTest
  static void routesUseValuesOnly(JavaClasses program) {
    dependsOnlyOn("brassbank.route").check(program);
    isPure("brassbank.route").check(program);
  }

  @ArchTest
  static void theDecisionFacadeUsesNoSocketFileOrThread(JavaClasses program) {
    isPure("brassbank.decide").check(program);
  }

  /** The package depends on no package of the project but itself and the others given. */
  private static ArchRule dependsOnlyOn(String packageName, String... others) {
    List<String> known = new ArrayList<>(List.of(packageName));
    known.addAll(Arrays.asList(others));
    return noClasses()
        .that()
        .resideInAPackage(packageName)
        .should()
        .dependOnClassesThat(
            describe(
                "belong to the project, but not to " + known,
                (JavaClass other) ->
                    (other.getPackageName().startsWith("brassbank")
                            || other.getPackageName().startsWith("ashspar"))
                        && !known.contains(other.getPackageName())));
  }

  /**
   * The package uses neither I/O nor threads. Addresses and the exception for an unknown host count
   * as values.
   */
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

  /**
   * Two independent implementations of a protocol verify each other; a shared one would always
   * agree with itself.
   */
  @ArchTest
  static void theSimulatedActorsShareNoCodeWithTheProxy(JavaClasses program) {
    dependsOnlyOn(
            "brassbank.sim.actor", "brassbank.sim.net", "brassbank.sim.event", "brassbank.sim.time")
        .check(program);
    isPure("brassbank.sim.check").check(program);
  }

  @ArchTest
  static void packageDependenciesAreAcyclicAndAsListed(JavaClasses program) {
    dependsOnlyOn("brassbank.cli").check(program);
    dependsOnlyOn("brassbank.sources").check(program);
    dependsOnlyOn("brassbank.rehearsal").check(program);
    dependsOnlyOn("brassbank.log", "brassbank.sources").check(program);
    dependsOnlyOn("brassbank.net", "brassbank.log", "brassbank.sources").check(program);
    dependsOnlyOn("brassbank.grizzly", "brassbank.net", "brassbank.log", "brassbank.sources")
        .check(program);
    dependsOnlyOn(
            "brassbank.relay",
            "brassbank.relay.limits",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    dependsOnlyOn("brassbank.lifecycle").check(program);
    isPure("brassbank.lifecycle").check(program);
    dependsOnlyOn("brassbank.handover", "brassbank.decide", "brassbank.log", "brassbank.sources")
        .check(program);
    dependsOnlyOn("brassbank.management", "brassbank.net", "brassbank.log").check(program);
    dependsOnlyOn(
            "brassbank.decide",
            "ashspar",
            "ashspar.limits",
            "brassbank.lifecycle",
            "brassbank.log",
            "brassbank.subsets",
            "brassbank.sources")
        .check(program);
    dependsOnlyOn(
            "brassbank.config", "ashspar", "ashspar.wire", "brassbank.decide", "brassbank.sources")
        .check(program);
    dependsOnlyOn(
            "brassbank.forward",
            "ashspar",
            "brassbank.decide",
            "brassbank.relay",
            "brassbank.relay.limits",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    dependsOnlyOn(
            "brassbank.front",
            "brassbank.forward",
            "brassbank.decide",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    dependsOnlyOn(
            "brassbank.discovery",
            "brassbank.forward",
            "brassbank.decide",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    dependsOnlyOn("brassbank.sim.time").check(program);
    dependsOnlyOn("brassbank.sim.net", "brassbank.sim.time").check(program);
    dependsOnlyOn("brassbank.sim.event", "brassbank.sim.time").check(program);
    dependsOnlyOn("brassbank.sim.check", "brassbank.sim.event").check(program);
    slices().matching("brassbank.sim.(*)..").should().beFreeOfCycles().check(program);
    slices().matching("brassbank.(*)..").should().beFreeOfCycles().check(program);
  }

  /** The lab runs the program only as processes, and applies the rules of the simulation. */
  @ArchTest
  static void theLabUsesTheSimulationAndNothingOfTheProgram(JavaClasses program) {
    dependsOnlyOn(
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
  static void membershipUsesValuesOnlyAndNothingOfTheProgram(JavaClasses program) {
    dependsOnlyOn("brassbank.membership").check(program);
    isPure("brassbank.membership").check(program);
    dependsOnlyOn("brassbank.membership.wire", "brassbank.membership").check(program);
    dependsOnlyOn(
            "brassbank.fleet",
            "brassbank.membership",
            "brassbank.membership.wire",
            "brassbank.shares",
            "brassbank.shares.wire",
            "brassbank.net",
            "brassbank.log",
            "brassbank.sources")
        .check(program);
    dependsOnlyOn("brassbank.subsets").check(program);
    isPure("brassbank.subsets").check(program);
    dependsOnlyOn("brassbank.shares").check(program);
    isPure("brassbank.shares").check(program);
    dependsOnlyOn("brassbank.shares.wire", "brassbank.shares", "brassbank.membership.wire")
        .check(program);
    // A proxy that is in no fleet loads none of these classes: other packages may use only the
    // plain values.
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
                "belong to membership and are not plain values",
                (JavaClass known) ->
                    known.getPackageName().startsWith("brassbank.membership")
                        && !List.of("MembershipConfig", "Settings", "Update")
                            .contains(known.getSimpleName())))
        .check(program);
  }

  @ArchTest
  static void gatewayLinkDependsDownwardsAndIsUsedByTheGatewayOnly(JavaClasses program) {
    String link = "brassbank.gateway.link";
    dependsOnlyOn(link + ".frame").check(program);
    dependsOnlyOn(link + ".mux", link + ".frame").check(program);
    dependsOnlyOn(link + ".tls", link + ".frame", "brassbank.sources").check(program);
    dependsOnlyOn(
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
    // Byte buffers count as values; channels and streams do not.
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
