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

/** Enforces the layering of packages that docs/design.md describes. */
@AnalyzeClasses(packages = "fennelthread", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {
  private static final Set<String> NUMERIC_TYPES = Set.of("int", "long", "double", "float");
  private static final DescribedPredicate<JavaClass> IS_NUMERIC =
      DescribedPredicate.describe("a number", type -> NUMERIC_TYPES.contains(type.getName()));

  @ArchTest
  static final ArchRule packagesHaveNoCyclicDependencies =
      slices().matching("fennelthread.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule wireDependsOnNoOtherPackage =
      classes()
          .that()
          .resideInAPackage("..wire..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("fennelthread.wire..", "java..", "com.fasterxml.jackson..");

  @ArchTest
  static final ArchRule planDependsOnNoSubsystem =
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

  /** The controller creates the subsystems; they depend neither on it nor on the command line. */
  @ArchTest
  static final ArchRule onlyCommandLineAndSimulationDependOnController =
      noClasses()
          .that()
          .resideOutsideOfPackages("fennelthread", "..cli..", "..simulation..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("..cli..")
          .orShould()
          .dependOnClassesThat()
          .belongToAnyOf(Controller.class);

  /** The simulation is a test environment: the running service must load none of its classes. */
  @ArchTest
  static final ArchRule productionCodeDoesNotDependOnSimulation =
      noClasses()
          .that()
          .resideOutsideOfPackage("..simulation..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("..simulation..");

  /** The emulation, and the libraries that it alone uses, are loaded by its own command only. */
  @ArchTest
  static final ArchRule onlyEmulateCommandDependsOnEmulation =
      noClasses()
          .that()
          .resideOutsideOfPackage("..emulate..")
          .and()
          .doNotHaveFullyQualifiedName("fennelthread.cli.Emulate")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("..emulate..", "org.HdrHistogram..", "org.knowm..");

  /** Message bodies for users, workers and the cloud are built in {@code wire} only. */
  @ArchTest
  static final ArchRule messageFieldsAreWrittenOnlyInWire =
      noClasses()
          .that()
          .resideInAnyPackage("fennelthread", "..api..", "..fleet..")
          .should()
          .callMethod(Fields.class, "with", String.class, Object.class);

  @ArchTest
  static final ArchRule onlyConstantsWireAndCliDeclareNumericConstants =
      fields()
          .that()
          .haveRawType(IS_NUMERIC)
          .and()
          .areFinal()
          .and()
          .areDeclaredInClassesThat()
          .resideOutsideOfPackages("fennelthread.constants", "..wire..", "..cli..")
          .and()
          .doNotHaveName("serialVersionUID")
          .should(notBeStatic());
}
