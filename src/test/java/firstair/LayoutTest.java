package firstair;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Who may know whom; docs/architecture.md says why. */
@AnalyzeClasses(packages = "firstair", importOptions = ImportOption.DoNotIncludeTests.class)
class LayoutTest {
    private static final String CLIENTS = "firstair.relay.clients..";
    private static final String ENDPOINTS = "firstair.relay.endpoints..";
    private static final String DISCOVERY = "firstair.relay.discovery..";
    private static final String PLATFORM = "firstair.relay.platform..";

    @ArchTest
    static final ArchRule DECISIONS_KNOW_THE_LANGUAGE_ALONE = classes()
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

    /** The ledger's engine brings its own futures; it runs on the thread that calls it all the same. */
    @ArchTest
    static final ArchRule FLEET_DECISIONS_DO_NO_IO = noClasses()
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
    static final ArchRule ONLY_THE_LEDGER_KNOWS_ITS_ENGINE = noClasses()
            .that()
            .resideOutsideOfPackages("firstair.fleet.ledger..", "firstair.relay.store..", "firstair.kit.fleet..")
            .should()
            .dependOnClassesThat(resideInAnyPackage("io.microraft.."));

    @ArchTest
    static final ArchRule ONLY_BOOKINGS_KNOW_CALENDARS = noClasses()
            .that()
            .resideOutsideOfPackage("firstair.fleet.booking..")
            .should()
            .dependOnClassesThat(resideInAnyPackage("org.dmfs..", "de.focus_shift.."));

    @ArchTest
    static final ArchRule THE_RELAY_KNOWS_NO_TOOL = noClasses()
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
    static final ArchRule PROTOCOL_AND_STORE_KNOW_NO_SOCKET = noClasses()
            .that()
            .resideInAnyPackage("firstair.relay.http..", "firstair.relay.store..")
            .should()
            .dependOnClassesThat(resideInAnyPackage(
                    "org.glassfish..", "java.net..", "firstair.relay.net..", CLIENTS, ENDPOINTS, DISCOVERY, PLATFORM));

    @ArchTest
    static final ArchRule CLIENTS_KNOW_NO_OTHER_PEER = alone(CLIENTS, ENDPOINTS, DISCOVERY, PLATFORM);

    @ArchTest
    static final ArchRule ENDPOINTS_KNOW_NO_OTHER_PEER = alone(ENDPOINTS, CLIENTS, DISCOVERY, PLATFORM);

    @ArchTest
    static final ArchRule DISCOVERY_KNOWS_NO_OTHER_PEER = alone(DISCOVERY, CLIENTS, ENDPOINTS, PLATFORM);

    @ArchTest
    static final ArchRule PLATFORM_KNOWS_NO_OTHER_PEER = alone(PLATFORM, CLIENTS, ENDPOINTS, DISCOVERY);

    @ArchTest
    static final ArchRule ONLY_NET_AND_CLIENTS_KNOW_GRIZZLY = noClasses()
            .that()
            .resideOutsideOfPackages("firstair.relay.net..", CLIENTS, "firstair.relay", "firstair.kit.run..")
            .should()
            .dependOnClassesThat(resideInAnyPackage("org.glassfish.."));

    private static ArchRule alone(String peer, String... others) {
        return noClasses().that().resideInAPackage(peer).should().dependOnClassesThat(resideInAnyPackage(others));
    }
}
