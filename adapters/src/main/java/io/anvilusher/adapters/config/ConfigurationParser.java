package io.anvilusher.adapters.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.anvilusher.adapters.json.LocatedJsonParser;
import io.anvilusher.adapters.json.LocatedValue;
import io.anvilusher.adapters.json.LocatedValue.ObjectValue;
import io.anvilusher.adapters.json.ObjectReader;
import io.anvilusher.adapters.json.Problem;
import io.anvilusher.adapters.json.TextPosition;
import io.anvilusher.model.config.Configuration;
import io.anvilusher.model.config.DataCentre;
import io.anvilusher.model.config.EngineSpec;
import io.anvilusher.model.config.LatencyTargets;
import io.anvilusher.model.config.LogOutagePolicy;
import io.anvilusher.model.config.RouteSpec;
import io.anvilusher.model.config.ScaleSpec;
import io.anvilusher.model.config.ServiceKind;
import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.config.WorkspaceSpec;

/**
 * Parses the operator's configuration text and validates it, including references between
 * its parts. All problems are reported, not only the first.
 */
public final class ConfigurationParser {

	private static final LatencyTargets DEFAULT_TARGETS = new LatencyTargets(1000, 30, 60_000);

	private static final int MAX_MS = 3_600_000;

	private final List<Problem> problems = new ArrayList<>();

	private final List<Reference> serviceReferences = new ArrayList<>();

	private ConfigurationParser() {
	}

	/**
	 * Parses a configuration text.
	 * @param text the text, in JSON with comments
	 * @return the configuration, or all problems of the text
	 */
	public static ParsedConfiguration parse(String text) {
		return new ConfigurationParser().parseAndValidate(text);
	}

	private ParsedConfiguration parseAndValidate(String text) {
		Optional<LocatedValue> value = LocatedJsonParser.parse(text, this.problems);
		if (value.isPresent() && !(value.get() instanceof ObjectValue)) {
			this.problems.add(new Problem(value.get().position(),
					"the configuration must be an object, not " + value.get().kind()));
		}
		Optional<Configuration> configuration = value.filter(ObjectValue.class::isInstance)
			.map((object) -> read((ObjectValue) object));
		if (configuration.isEmpty() || !this.problems.isEmpty()) {
			this.problems.sort(Comparator.<Problem>comparingInt((problem) -> problem.position().line())
				.thenComparingInt((problem) -> problem.position().column()));
			return new ParsedConfiguration.Invalid(this.problems);
		}
		return new ParsedConfiguration.Valid(configuration.get());
	}

	private Configuration read(ObjectValue object) {
		ObjectReader reader = new ObjectReader(object, this.problems);
		Configuration configuration = new Configuration(reader.text("deployment"),
				reader.objects("data_centres", this::readDataCentre), reader.objects("services", this::readService),
				reader.objects("workspaces", this::readWorkspace));
		reader.reportUnknownFields();
		checkUnique(reader, "data_centres", configuration.dataCentres().stream().map(DataCentre::name).toList());
		checkUnique(reader, "services", configuration.services().stream().map(ServiceSpec::name).toList());
		checkUnique(reader, "workspaces", configuration.workspaces().stream().map(WorkspaceSpec::name).toList());
		checkUnique(reader, "services",
				configuration.services().stream().flatMap((service) -> service.models().stream()).toList());
		checkReferences(configuration);
		checkDependencyCycles(reader, configuration);
		return configuration;
	}

	private DataCentre readDataCentre(ObjectReader reader) {
		return new DataCentre(reader.text("name"), reader.text("region"));
	}

	private ServiceSpec readService(ObjectReader reader) {
		ServiceKind kind = reader.choice("kind", Map.of("model", ServiceKind.MODEL, "plain", ServiceKind.PLAIN),
				ServiceKind.MODEL);
		ServiceSpec service = new ServiceSpec(reader.text("name"), kind, reader.texts("models"),
				reader.objects("routes", this::readRoute), reader.texts("depends_on"),
				reader.object("targets", this::readTargets).orElse(DEFAULT_TARGETS),
				(int) reader.wholeNumber("max_concurrent_per_server", 1, 100_000, 16),
				reader.choice("when_log_is_out",
						Map.of("refuse", LogOutagePolicy.REFUSE, "run_unclaimed", LogOutagePolicy.RUN_UNCLAIMED),
						LogOutagePolicy.REFUSE),
				reader.object("scale", this::readScale).orElse(ScaleSpec.UNMANAGED),
				reader.object("engine", this::readEngine));
		if (kind == ServiceKind.MODEL && service.models().isEmpty()) {
			reader.problem("models", "a model service must list its \"models\"");
		}
		if (kind == ServiceKind.MODEL && !service.routes().isEmpty()) {
			reader.problem("routes", "a model service must not have \"routes\" of its own");
		}
		if (kind == ServiceKind.PLAIN && service.routes().isEmpty()) {
			reader.problem("routes", "a plain service must list its \"routes\"");
		}
		service.dependsOn()
			.forEach((name) -> this.serviceReferences.add(new Reference(name, reader.position("depends_on"))));
		return service;
	}

	private RouteSpec readRoute(ObjectReader reader) {
		RouteSpec route = new RouteSpec(reader.text("method"), reader.text("path"), reader.flag("repeatable", false),
				reader.flag("open", false));
		if (!route.path().startsWith("/")) {
			reader.problem("path", "\"path\" must begin with a slash");
		}
		if (!route.method().equals(route.method().toUpperCase(Locale.ROOT))) {
			reader.problem("method", "\"method\" must be in upper case");
		}
		return route;
	}

	private LatencyTargets readTargets(ObjectReader reader) {
		return new LatencyTargets(reader.wholeNumber("first_token_ms", 1, MAX_MS, DEFAULT_TARGETS.firstTokenMs()),
				reader.wholeNumber("between_tokens_ms", 1, MAX_MS, DEFAULT_TARGETS.betweenTokensMs()),
				reader.wholeNumber("deadline_ms", 1, MAX_MS, DEFAULT_TARGETS.deadlineMs()));
	}

	private EngineSpec readEngine(ObjectReader reader) {
		return new EngineSpec(reader.text("version"), reader.optionalText("adapter").orElse(""));
	}

	private ScaleSpec readScale(ObjectReader reader) {
		ScaleSpec scale = new ScaleSpec(
				(int) reader.wholeNumber("min_servers", 0, 100_000, ScaleSpec.UNMANAGED.minServers()),
				(int) reader.wholeNumber("max_servers", 0, 100_000, ScaleSpec.UNMANAGED.maxServers()),
				reader.number("goodput_weight", 0, 1000, ScaleSpec.UNMANAGED.goodputWeight()));
		if (scale.maxServers() < scale.minServers()) {
			reader.problem("max_servers", "\"max_servers\" is below \"min_servers\"");
		}
		return scale;
	}

	private WorkspaceSpec readWorkspace(ObjectReader reader) {
		WorkspaceSpec workspace = new WorkspaceSpec(reader.text("name"), reader.texts("services"),
				reader.number("weight", 0.001, 1_000_000, 1),
				(int) reader.wholeNumber("max_concurrent", 1, 1_000_000, 256), reader.flag("urgent", false));
		workspace.services()
			.forEach((name) -> this.serviceReferences.add(new Reference(name, reader.position("services"))));
		return workspace;
	}

	private void checkUnique(ObjectReader reader, String field, List<String> names) {
		Set<String> seen = new HashSet<>();
		names.stream()
			.filter((name) -> !name.isEmpty() && !seen.add(name))
			.forEach((name) -> reader.problem(field, "\"" + name + "\" occurs twice in \"" + field + "\""));
	}

	private void checkReferences(Configuration configuration) {
		this.serviceReferences.stream()
			.filter((reference) -> configuration.service(reference.name()).isEmpty())
			.map((reference) -> new Problem(reference.position(), "there is no service \"" + reference.name() + "\""))
			.forEach(this.problems::add);
	}

	private void checkDependencyCycles(ObjectReader reader, Configuration configuration) {
		configuration.services()
			.stream()
			.filter((service) -> reaches(configuration, service, service.name(), new HashSet<>()))
			.forEach((service) -> reader.problem("services", "\"" + service.name() + "\" depends on itself"));
	}

	private boolean reaches(Configuration configuration, ServiceSpec from, String target, Set<String> visited) {
		return from.dependsOn()
			.stream()
			.anyMatch((name) -> name.equals(target) || (visited.add(name) && configuration.service(name)
				.filter((next) -> reaches(configuration, next, target, visited))
				.isPresent()));
	}

	private record Reference(String name, TextPosition position) {

	}

}
