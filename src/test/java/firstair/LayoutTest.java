package firstair;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Allowed dependencies between packages; docs/architecture.md gives the reasons. */
@AnalyzeClasses(packages = "firstair", importOptions = ImportOption.DoNotIncludeTests.class)
class LayoutTest {
    private static final String CLIENTS = "firstair.relay.clients..";
    private static final String ENDPOINTS = "firstair.relay.endpoints..";
    private static final String DISCOVERY = "firstair.relay.discovery..";
    private static final String PLATFORM = "firstair.relay.platform..";

    @ArchTest
    static final ArchRule CONTROL_DEPENDS_ON_CORE_JAVA_PACKAGES_ONLY = classes()
            .that()
            .resideInAPackage("firstair.control..")
            .should()
            .onlyDependOnClassesThat(resideInAnyPackage(
                    "firstair.control..", "java.lang..", "java.util", "java.util.stream", "java.util.function"));

    @ArchTest
    static final ArchRule PLANS_DO_NO_IO = noClasses()
            .that()
            .haveNameMatching(".*Plan(\\$.*)?")
            .and()
            .resideInAPackage("firstair.relay..")
            .should()
            .dependOnClassesThat(resideInAnyPackage(
                    "java.io..",
                    "java.nio..",
                    "java.net..",
                    "java.util.concurrent..",
                    "java.util.logging..",
                    "org.glassfish..",
                    "firstair.relay.net.."))
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("firstair.relay.Loop");

    /** {@code java.util.concurrent} is allowed: MicroRaft returns futures, though it runs on the calling thread. */
    @ArchTest
    static final ArchRule FLEET_DOES_NO_IO = noClasses()
            .that()
            .resideInAPackage("firstair.fleet..")
            .should()
            .dependOnClassesThat(resideInAnyPackage(
                    "java.net..",
                    "java.nio.channels..",
                    "java.nio.file..",
                    "java.util.logging..",
                    "org.glassfish..",
                    "firstair.relay..",
                    "firstair.kit..",
                    "firstair.cli.."));

    @ArchTest
    static final ArchRule ONLY_LEDGER_PACKAGES_DEPEND_ON_MICRORAFT = noClasses()
            .that()
            .resideOutsideOfPackages("firstair.fleet.ledger..", "firstair.relay.store..", "firstair.kit.fleet..")
            .should()
            .dependOnClassesThat(resideInAnyPackage("io.microraft.."));

    @ArchTest
    static final ArchRule ONLY_BOOKINGS_DEPEND_ON_CALENDAR_LIBRARIES = noClasses()
            .that()
            .resideOutsideOfPackage("firstair.fleet.booking..")
            .should()
            .dependOnClassesThat(resideInAnyPackage("org.dmfs..", "de.focus_shift.."));

    @ArchTest
    static final ArchRule THE_RELAY_DEPENDS_ON_NO_TOOL = noClasses()
            .that()
            .resideInAnyPackage(
                    "firstair.relay..",
                    "firstair.control..",
                    "firstair.settings..",
                    "firstair.simhost..",
                    "firstair.fleet..")
            .should()
            .dependOnClassesThat(resideInAnyPackage("firstair.kit..", "firstair.cli..", "picocli.."));

    @ArchTest
    static final ArchRule PROTOCOL_AND_STORE_DEPEND_ON_NO_SOCKET = noClasses()
            .that()
            .resideInAnyPackage("firstair.relay.http..", "firstair.relay.store..")
            .should()
            .dependOnClassesThat(resideInAnyPackage(
                    "org.glassfish..", "java.net..", "firstair.relay.net..", CLIENTS, ENDPOINTS, DISCOVERY, PLATFORM));

    @ArchTest
    static final ArchRule CLIENTS_DEPEND_ON_NO_OTHER_PEER = independentOf(CLIENTS, ENDPOINTS, DISCOVERY, PLATFORM);

    @ArchTest
    static final ArchRule ENDPOINTS_DEPEND_ON_NO_OTHER_PEER = independentOf(ENDPOINTS, CLIENTS, DISCOVERY, PLATFORM);

    @ArchTest
    static final ArchRule DISCOVERY_DEPENDS_ON_NO_OTHER_PEER = independentOf(DISCOVERY, CLIENTS, ENDPOINTS, PLATFORM);

    @ArchTest
    static final ArchRule PLATFORM_DEPENDS_ON_NO_OTHER_PEER = independentOf(PLATFORM, CLIENTS, ENDPOINTS, DISCOVERY);

    @ArchTest
    static final ArchRule ONLY_NET_AND_CLIENTS_DEPEND_ON_GRIZZLY = noClasses()
            .that()
            .resideOutsideOfPackages("firstair.relay.net..", CLIENTS, "firstair.relay", "firstair.kit.run..")
            .should()
            .dependOnClassesThat(resideInAnyPackage("org.glassfish.."));

    private static ArchRule independentOf(String peer, String... others) {
        return noClasses().that().resideInAPackage(peer).should().dependOnClassesThat(resideInAnyPackage(others));
    }
}
