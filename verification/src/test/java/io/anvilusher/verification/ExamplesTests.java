package io.anvilusher.verification;

import java.io.IOException;
import java.nio.file.Files;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.adapters.config.ConfigurationParser;
import io.anvilusher.adapters.config.ParsedConfiguration;

import static org.testng.Assert.assertTrue;

public class ExamplesTests {

	@DataProvider
	public Object[][] examples() {
		return new Object[][] { { "alpaca-pasi.json" }, { "kyushu-board-care.json" } };
	}

	@Test(dataProvider = "examples")
	public void exampleIsAValidConfiguration(String name) throws IOException {
		ParsedConfiguration parsed = ConfigurationParser.parse(Files.readString(ThinPathTests.EXAMPLES.resolve(name)));
		assertTrue(parsed instanceof ParsedConfiguration.Valid, parsed.toString());
	}

}
