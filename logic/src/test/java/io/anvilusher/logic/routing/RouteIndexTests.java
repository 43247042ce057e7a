package io.anvilusher.logic.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import org.testng.annotations.Test;

import io.anvilusher.model.routing.CallerLimits;
import io.anvilusher.model.routing.Route;
import io.anvilusher.model.routing.RouteKind;
import io.anvilusher.model.routing.RoutingTable;
import io.anvilusher.model.routing.WeightedService;

import static org.testng.Assert.assertEquals;

public class RouteIndexTests {

	/** Stack of a gateway's threads. */
	private static final long SMALL_STACK_BYTES = 256 * 1024;

	private static Route route(String name, String host, String prefix) {
		return new Route(name, host, prefix, RouteKind.IDEMPOTENT, 1_000, 100, 100, 0,
				List.of(new WeightedService("a", 90), new WeightedService("b", 10)), 1, false, false, false);
	}

	private final RouteIndex index = new RouteIndex(
			new RoutingTable(1,
					List.of(route("short", "h.example", "/a/"), route("long", "h.example", "/a/b/"),
							route("other", "o.example", "/")),
					Map.of(), false, Map.of(), CallerLimits.DEFAULT, Map.of()));

	private Optional<String> find(String host, String path) {
		return this.index.find(host, path).map(Route::name);
	}

	@Test
	public void prefersTheLongestPrefix() {
		assertEquals(find("h.example", "/a/b/c"), Optional.of("long"));
		assertEquals(find("h.example", "/a/c/b"), Optional.of("short"));
	}

	@Test
	public void needsTheCompletePrefix() {
		assertEquals(find("h.example", "/a"), Optional.empty());
		assertEquals(find("h.example", "/ab/c"), Optional.empty());
	}

	@Test
	public void ignoresCaseAndPortOfTheHost() {
		assertEquals(find("H.Example:8080", "/a/"), Optional.of("short"));
		assertEquals(find("unknown.example", "/a/"), Optional.empty());
	}

	/**
	 * Guards against a Host header whose many colons overflowed the traffic thread's
	 * stack.
	 */
	@Test
	public void hostWithManyColonsHasNoRoute() throws InterruptedException {
		List<Optional<String>> found = new CopyOnWriteArrayList<>();
		Thread thread = new Thread(null, () -> {
			found.add(find("h.example" + ":1".repeat(30_000), "/a/"));
			found.add(find("[::1]:80", "/a/"));
			found.add(find(":", "/a/"));
		}, "small stack", SMALL_STACK_BYTES);
		thread.start();
		thread.join();
		assertEquals(found, List.of(Optional.empty(), Optional.empty(), Optional.empty()));
	}

	@Test
	public void splitsByWeight() {
		Route route = this.index.find("h.example", "/a/").orElseThrow();
		assertEquals(RouteIndex.selectService(route, 0.0), "a");
		assertEquals(RouteIndex.selectService(route, 0.89), "a");
		assertEquals(RouteIndex.selectService(route, 0.91), "b");
		assertEquals(RouteIndex.selectService(route, 0.999_999), "b");
	}

}
