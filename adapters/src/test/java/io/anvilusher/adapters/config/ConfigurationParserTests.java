package io.anvilusher.adapters.config;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.adapters.json.Problem;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ConfigurationParserTests {

	private static List<String> problems(String text) {
		ParsedConfiguration parsed = ConfigurationParser.parse(text);
		assertTrue(parsed instanceof ParsedConfiguration.Invalid, "accepted: " + text);
		return ((ParsedConfiguration.Invalid) parsed).problems()
			.stream()
			.map((Problem problem) -> problem.format("f"))
			.toList();
	}

	@Test
	public void allProblemsAreReportedWithTheirPositions() {
		List<String> problems = problems("""
				{
					"deployment": "d",
					"data_centers": [],
					"services": [
						{ "name": "a", "kind": "modell", "models": ["m"], "max_concurrent_per_server": 0 },
						{ "name": "a", "models": ["m2"], "depends_on": ["b"] },
					],
				}
				""");
		assertEquals(problems.size(), 5, problems.toString());
		assertTrue(problems.get(0).startsWith("f:3:2: unknown field \"data_centers\"; did you mean \"data_centres\"?"));
		assertTrue(
				problems.stream().anyMatch((line) -> line.startsWith("f:5:26: \"kind\" must be one of model, plain")));
		assertTrue(problems.stream().anyMatch((line) -> line.contains("must be a whole number from 1 to 100000")));
		assertTrue(problems.stream().anyMatch((line) -> line.contains("\"a\" occurs twice")));
		assertTrue(problems.stream().anyMatch((line) -> line.contains("there is no service \"b\"")));
	}

	@DataProvider
	public Object[][] invalidTexts() {
		return new Object[][] { { "", "f:1:1: the text is empty" },
				{ "[]", "f:1:1: the configuration must be an object" }, { "{\n \"a\" 1}", "f:2:6:" },
				{ "{\"deployment\":\"d\",\"deployment\":\"e\"}", "occurs twice" },
				{ "{\"deployment\":\"d\"} x", "f:1:" },
				{ "{\"deployment\":\"d\",\"services\":[{\"name\":\"p\",\"kind\":\"plain\"}]}",
						"must list its \"routes\"" },
				{ "{\"deployment\":\"d\",\"services\":[{\"name\":\"p\",\"models\":[\"m\"],\"depends_on\":[\"p\"]}]}",
						"depends on itself" } };
	}

	@Test(dataProvider = "invalidTexts")
	public void invalidTextIsRejectedWithItsPosition(String text, String expected) {
		assertTrue(problems(text).stream().anyMatch((line) -> line.contains(expected)), problems(text).toString());
	}

}
