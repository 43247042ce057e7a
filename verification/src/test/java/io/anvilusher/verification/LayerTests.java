package io.anvilusher.verification;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;
import org.testng.annotations.Test;

public class LayerTests {

	private static final JavaClasses CLASSES = new ClassFileImporter()
		.withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("io.anvilusher.model", "io.anvilusher.logic", "io.anvilusher.protocol",
				"io.anvilusher.adapters", "io.anvilusher.sidecar", "io.anvilusher.entry");

	@Test
	public void layersDependOnlyOnThoseBelow() {
		Architectures.layeredArchitecture()
			.consideringOnlyDependenciesInLayers()
			.layer("model")
			.definedBy("io.anvilusher.model..")
			.layer("logic")
			.definedBy("io.anvilusher.logic..")
			.layer("protocol")
			.definedBy("io.anvilusher.protocol..")
			.layer("adapters")
			.definedBy("io.anvilusher.adapters..")
			.layer("sidecar")
			.definedBy("io.anvilusher.sidecar..")
			.layer("entry")
			.definedBy("io.anvilusher.entry..")
			.whereLayer("sidecar")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("entry")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("adapters")
			.mayOnlyBeAccessedByLayers("sidecar", "entry")
			.whereLayer("protocol")
			.mayOnlyBeAccessedByLayers("adapters", "sidecar", "entry")
			.whereLayer("logic")
			.mayOnlyBeAccessedByLayers("protocol", "adapters", "sidecar", "entry")
			.check(CLASSES);
	}

	@Test
	public void modelAndLogicDoNoInputOutputAndReadNoClock() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage("io.anvilusher.model..", "io.anvilusher.logic..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.io..", "java.net..", "java.nio.file..", "java.util.concurrent..", "io.netty..",
					"io.undertow..", "com.fasterxml..", "org.slf4j..")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.check(CLASSES);
	}

	@Test
	public void onlyProtocolTouchesNetty() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage("io.anvilusher.adapters..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("io.netty..")
			.check(CLASSES);
	}

}
