package io.anvilusher.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Simulates prompts of very different sizes that several gateways, each with its own
 * {@link PlacementQueue}, place on the same engines. A few prompts have several times the
 * mean size, and which request has one does not depend on anything else.
 */
class SizeReplay {

	static final long TARGET_MS = 150;

	private static final double DEADLINE_MS = 2_000;

	private static final int DOCUMENTS = 700;

	private static final int TEMPLATES = 4;

	private static final double QUEUE_CHECK_INTERVAL_MS = 5;

	/**
	 * Time from the end of the prefill to the first event: KV transfer and first step.
	 */
	private static final double FIRST_EVENT_DELAY_MS = 8;

	private final Random random;

	private final List<EngineModel> engines;

	private final List<Gateway> gateways;

	private final List<PromptPart> templates;

	private final List<PromptPart> documents;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));

	private final List<Outcome> outcomes = new ArrayList<>();

	SizeReplay(long seed, int gatewayCount) {
		this.random = new Random(seed);
		this.engines = IntStream.range(0, 10)
			.mapToObj((index) -> (index < 3) ? new EngineModel("e" + index, EngineRole.PREFILL, 330)
					: new EngineModel("e" + index, EngineRole.DECODE, 165))
			.toList();
		this.gateways = IntStream.range(0, gatewayCount)
			.mapToObj((index) -> new Gateway(new EnginePlacer(), new PlacementQueue<>(),
					this.engines.stream().map((engine) -> new TrackedServer(engine.server())).toList()))
			.toList();
		this.templates = IntStream.range(0, TEMPLATES)
			.mapToObj((index) -> new PromptPart("t" + index, tokens(2_500, 0.4, 6_300)))
			.toList();
		this.documents = IntStream.range(0, DOCUMENTS)
			.mapToObj((index) -> new PromptPart("d" + index, tokens(3_800, 0.7, 11_300)))
			.toList();
	}

	// Log-normal distribution with the given mean.
	final int tokens(double mean, double spread, int max) {
		double drawn = mean * Math.exp(spread * this.random.nextGaussian() - spread * spread / 2);
		return (int) Math.max(1, Math.min(max, drawn));
	}

	/**
	 * Simulates requests until each is served or rejected.
	 * @param lengthMs period in which requests arrive
	 * @param perMs mean arrival rate, in requests per millisecond
	 * @return what became of the requests
	 */
	List<Outcome> simulate(double lengthMs, double perMs) {
		double nowMs = 0;
		while (nowMs < lengthMs) {
			nowMs += -Math.log(1 - this.random.nextDouble()) / perMs;
			double atMs = nowMs;
			Gateway gateway = this.gateways.get(this.random.nextInt(this.gateways.size()));
			Request request = new Request(prompt(atMs), atMs);
			this.events.add(new Event(atMs, () -> arrive(gateway, request)));
		}
		for (double checkMs = 0; checkMs < lengthMs + TARGET_MS; checkMs += QUEUE_CHECK_INTERVAL_MS) {
			double atMs = checkMs;
			this.gateways.forEach((gateway) -> this.events.add(new Event(atMs, () -> checkQueue(gateway, atMs))));
		}
		while (!this.events.isEmpty()) {
			this.events.poll().action().run();
		}
		return List.copyOf(this.outcomes);
	}

	/**
	 * Draws the prompt of a request.
	 * @param atMs arrival time, different for each request
	 * @return the prompt
	 */
	PromptShape prompt(double atMs) {
		int document = (int) (DOCUMENTS * Math.pow(this.random.nextDouble(), 1.3));
		PromptPart template = this.templates.get(document % TEMPLATES);
		PromptPart text = this.documents.get(document);
		PromptPart question = new PromptPart("q" + atMs, tokens(2_900, 1, 40_000));
		return new PromptShape(template.tokens() + text.tokens() + question.tokens(), 2,
				List.of(template, text, question));
	}

	/**
	 * Returns the kind of request that a prompt belongs to.
	 * @param prompt the prompt
	 * @return name of its route
	 */
	String kind(PromptShape prompt) {
		return "r";
	}

	private void arrive(Gateway gateway, Request request) {
		if (!place(gateway, request, request.atMs())
				&& !gateway.queue().offer(request, TARGET_MS, (long) request.atMs())) {
			reject(gateway, request);
		}
	}

	private void checkQueue(Gateway gateway, double nowMs) {
		placeQueued(gateway, nowMs);
		gateway.queue().expire((long) nowMs, (request) -> reject(gateway, request));
	}

	private void placeQueued(Gateway gateway, double nowMs) {
		gateway.queue().placeQueued((request) -> place(gateway, request, nowMs));
	}

	private void reject(Gateway gateway, Request request) {
		gateway.placer().onRefused("llm", kind(request.prompt()), request.prompt());
		this.outcomes.add(new Outcome(request.prompt().promptTokens(), Double.MAX_VALUE));
	}

	private boolean place(Gateway gateway, Request request, double nowMs) {
		Placement placement = gateway.placer()
			.place(kind(request.prompt()), request.prompt(), gateway.engines(), Set.of(), TARGET_MS, (long) nowMs);
		if (placement instanceof Placement.SingleServer single) {
			send(gateway, request, single.server(), single.uncachedTokens(), nowMs);
		}
		else if (placement instanceof Placement.Split split) {
			send(gateway, request, split.prefill(), split.uncachedTokens(), nowMs);
		}
		return !(placement instanceof Placement.Full);
	}

	private void send(Gateway gateway, Request request, TrackedServer server, int tokens, double nowMs) {
		EngineModel engine = this.engines.stream()
			.filter((candidate) -> candidate.server().id().equals(server.server().id()))
			.findFirst()
			.orElseThrow();
		server.window().onSent(tokens, (long) nowMs);
		double firstMs = engine.prefill(request.prompt(), nowMs) + FIRST_EVENT_DELAY_MS;
		Consumer<Double> onFirstEvent = (atMs) -> {
			server.window().onSettled(tokens, atMs.longValue());
			server.window().onFirstEvent(tokens, (long) (atMs - nowMs), TARGET_MS, atMs.longValue());
			server.onPromptPrefilled(request.prompt().sharedParts());
			placeQueued(gateway, atMs);
		};
		this.events.add(new Event(firstMs, () -> onFirstEvent.accept(firstMs)));
		this.outcomes.add(new Outcome(request.prompt().promptTokens(), firstMs - request.atMs()));
	}

	private record Gateway(EnginePlacer placer, PlacementQueue<Request> queue, List<TrackedServer> engines) {

	}

	private record Request(PromptShape prompt, double atMs) {

	}

	private record Event(double atMs, Runnable action) {

	}

	/**
	 * What became of a request.
	 *
	 * @param promptTokens size of its prompt
	 * @param firstEventMs time until its first event
	 */
	record Outcome(int promptTokens, double firstEventMs) {

		boolean isServed() {
			return this.firstEventMs <= DEADLINE_MS;
		}

		boolean isOnTime() {
			return this.firstEventMs <= TARGET_MS;
		}

	}

}
