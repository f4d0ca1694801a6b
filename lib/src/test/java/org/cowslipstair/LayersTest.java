package org.cowslipstair;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

@AnalyzeClasses(packages = "org.cowslipstair", importOptions = ImportOption.DoNotIncludeTests.class)
final class LayersTest {
  @ArchTest
  static final ArchRule LAYERS_DEPEND_DOWNWARDS_ONLY =
      layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .layer("model")
          .definedBy("org.cowslipstair.model..")
          .layer("port")
          .definedBy("org.cowslipstair.port..")
          .layer("logic")
          .definedBy("org.cowslipstair.logic..")
          .whereLayer("model")
          .mayOnlyBeAccessedByLayers("port", "logic")
          .whereLayer("port")
          .mayOnlyBeAccessedByLayers("logic")
          .whereLayer("logic")
          .mayNotBeAccessedByAnyLayer();

  @ArchTest
  static final ArchRule LOGIC_READS_NO_CLOCK =
      ArchRuleDefinition.noClasses()
          .that()
          .resideInAPackage("org.cowslipstair.logic..")
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  private LayersTest() {}
}
