package fennelthread;

import static com.tngtech.archunit.lang.conditions.ArchConditions.notBeStatic;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import fennelthread.wire.Fields;
import java.util.Set;

/** The layering of docs/design.md, held to by the build. */
@AnalyzeClasses(packages = "fennelthread", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {
  private static final Set<String> NUMBERS = Set.of("int", "long", "double", "float");
  private static final DescribedPredicate<JavaClass> NUMERIC =
      DescribedPredicate.describe("a number", c -> NUMBERS.contains(c.getName()));

  @ArchTest
  static final ArchRule noCycles =
      slices().matching("fennelthread.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule wireKnowsNothingAbove =
      classes()
          .that()
          .resideInAPackage("..wire..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("fennelthread.wire..", "java..", "com.fasterxml.jackson..");

  @ArchTest
  static final ArchRule planKnowsOnlyWire =
      noClasses()
          .that()
          .resideInAPackage("..plan..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "..api..",
              "..cli..",
              "..fleet..",
              "..jobs..",
              "..leader..",
              "..peers..",
              "..net..",
              "..settings..",
              "..state..");

  /** Subsystems are wired in by the controller; nothing below it knows it, or the command line. */
  @ArchTest
  static final ArchRule nothingKnowsTheController =
      noClasses()
          .that()
          .resideOutsideOfPackages("fennelthread", "..cli..", "..simulation..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("..cli..")
          .orShould()
          .dependOnClassesThat()
          .belongToAnyOf(Controller.class);

  /** What the service is tried in is no part of it: nothing of it is loaded where it runs. */
  @ArchTest
  static final ArchRule nothingKnowsTheLab =
      noClasses()
          .that()
          .resideOutsideOfPackage("..simulation..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("..simulation..");

  /** The emulation, and the libraries that it alone uses, are loaded by its own command only. */
  @ArchTest
  static final ArchRule onlyItsCommandKnowsTheEmulation =
      noClasses()
          .that()
          .resideOutsideOfPackage("..emulate..")
          .and()
          .doNotHaveFullyQualifiedName("fennelthread.cli.Emulate")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("..emulate..", "org.HdrHistogram..", "org.knowm..");

  /** Bodies for users, workers and the cloud are put together in {@code wire} alone. */
  @ArchTest
  static final ArchRule wireNamesOnlyInWire =
      noClasses()
          .that()
          .resideInAnyPackage("fennelthread", "..api..", "..fleet..")
          .should()
          .callMethod(Fields.class, "with", String.class, Object.class);

  @ArchTest
  static final ArchRule constantsInOnePlace =
      fields()
          .that()
          .haveRawType(NUMERIC)
          .and()
          .areFinal()
          .and()
          .areDeclaredInClassesThat()
          .resideOutsideOfPackages("fennelthread.constants", "..wire..", "..cli..")
          .and()
          .doNotHaveName("serialVersionUID")
          .should(notBeStatic());
}
