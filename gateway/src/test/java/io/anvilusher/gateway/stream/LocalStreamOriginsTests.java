package io.anvilusher.gateway.stream;

import java.util.Optional;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class LocalStreamOriginsTests {

	private static final StreamOrigin V1 = new StreamOrigin("s", "v1");

	private static final StreamOrigin V2 = new StreamOrigin("s", "v2");

	private final LocalStreamOrigins origins = new LocalStreamOrigins();

	private Optional<StreamOrigin> find(String id) {
		return this.origins.find(id).join();
	}

	@Test
	public void dropsTheLeastRecentlyBegunStream() {
		this.origins.onBegun("a", V1);
		this.origins.onBegun("b", V1);
		this.origins.onBegun("a", V2);
		IntStream.range(0, LocalStreamOrigins.MAX_STREAMS - 1)
			.forEach((index) -> this.origins.onBegun("other-" + index, V1));
		assertEquals(find("b"), Optional.empty());
		assertEquals(find("a"), Optional.of(V2));
	}

	/** Guards against a heap that callers fill with long identifiers. */
	@Test
	public void doesNotKeepLongIdentifiers() {
		String longest = "x".repeat(LocalStreamOrigins.MAX_ID_LENGTH);
		this.origins.onBegun(longest, V1);
		this.origins.onBegun(longest + "x", V1);
		assertEquals(find(longest), Optional.of(V1));
		assertEquals(find(longest + "x"), Optional.empty());
	}

}
