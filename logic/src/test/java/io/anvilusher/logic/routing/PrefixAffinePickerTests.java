package io.anvilusher.logic.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import io.anvilusher.model.fleet.ServerLoad;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class PrefixAffinePickerTests {

	private final PrefixAffinePicker picker = new PrefixAffinePicker(new SplittableRandom(1));

	private static ServerLoad server(String name, int running) {
		return new ServerLoad(name, "s", "dc", 16, running, 0, 0, 0);
	}

	private static List<ServerLoad> servers(int count, int running) {
		return IntStream.range(0, count).mapToObj((i) -> server("s" + i, running)).toList();
	}

	@Test
	public void samePrefixSelectsTheSameServer() {
		String first = this.picker.pick(servers(8, 2), OptionalLong.of(99)).orElseThrow().server();
		for (int i = 0; i < 50; i++) {
			assertEquals(this.picker.pick(servers(8, 2), OptionalLong.of(99)).orElseThrow().server(), first);
		}
	}

	@Test
	public void overloadedServerIsNotSelectedDespiteItsCache() {
		String preferred = this.picker.pick(servers(4, 0), OptionalLong.of(5)).orElseThrow().server();
		List<ServerLoad> loads = servers(4, 0).stream()
			.map((load) -> load.server().equals(preferred) ? server(preferred, 12) : load)
			.toList();
		assertNotEquals(this.picker.pick(loads, OptionalLong.of(5)).orElseThrow().server(), preferred);
	}

	@Test
	public void fullServersAreNotSelected() {
		assertFalse(this.picker.pick(servers(4, 16), OptionalLong.empty()).isPresent());
	}

	@Test
	public void lossOfAServerMovesOnlyItsOwnPrefixes() {
		List<ServerLoad> all = servers(8, 0);
		List<ServerLoad> fewer = all.subList(0, 7);
		for (long hash = 0; hash < 500; hash++) {
			String before = this.picker.pick(all, OptionalLong.of(hash)).orElseThrow().server();
			String after = this.picker.pick(fewer, OptionalLong.of(hash)).orElseThrow().server();
			assertTrue(before.equals(after) || before.equals("s7"));
		}
	}

	@Test
	public void entriesWithTheSameStaleReportsDoNotAllSelectTheSameServer() {
		Map<String, Integer> selections = new HashMap<>();
		List<ServerLoad> stale = List.of(server("idle", 0), server("b", 1), server("c", 1), server("d", 1));
		for (long entry = 0; entry < 400; entry++) {
			PrefixAffinePicker other = new PrefixAffinePicker(new SplittableRandom(entry));
			selections.merge(other.pick(stale, OptionalLong.empty()).orElseThrow().server(), 1, Integer::sum);
		}
		assertTrue(selections.get("idle") < 240, selections.toString());
	}

}
