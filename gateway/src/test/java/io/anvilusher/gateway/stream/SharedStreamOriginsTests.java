package io.anvilusher.gateway.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.adapters.metrics.Meters;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link SharedStreamOrigins} with all threads replaced by one.
 */
public class SharedStreamOriginsTests {

	private static final long INTERVAL_MS = 200;

	private static final long LONGEST_STREAM_MS = 15_000;

	/** Longest wait of a search while the store gives no record. */
	private static final long PATIENCE_MS = 400;

	/** Largest record that the store accepts. */
	private static final int STORE_RECORD_BYTES = 262_144;

	private static final StreamOrigin OLD = new StreamOrigin("chat", "v1");

	private static final StreamOrigin NEW = new StreamOrigin("chat", "v2");

	private static final OriginSearch NOT_RECORDED = new OriginSearch.NotRecorded();

	private static final OriginSearch UNAVAILABLE = new OriginSearch.Unavailable();

	private FakeStoreLog log;

	private FakeTasks tasks;

	private Meters meters;

	private SharedStreamOrigins origins;

	@BeforeMethod
	public void start() {
		this.log = new FakeStoreLog();
		this.tasks = new FakeTasks();
		this.meters = new Meters();
		this.origins = gateway(1_000_000, this.meters);
	}

	private SharedStreamOrigins gateway(long maxIndexBytes, Meters gatewayMeters) {
		return new SharedStreamOrigins(this.log, new OriginThreads(Runnable::run, this.tasks, this.tasks::nowMs),
				gatewayMeters, new OriginSettings(INTERVAL_MS, () -> LONGEST_STREAM_MS, maxIndexBytes));
	}

	private SharedStreamOrigins otherGateway() {
		return gateway(1_000_000, new Meters());
	}

	private static OriginSearch found(StreamOrigin origin) {
		return new OriginSearch.Found(origin);
	}

	private OriginSearch find(SharedStreamOrigins gateway, String id) {
		CompletableFuture<OriginSearch> result = gateway.find(id);
		this.tasks.runDue();
		assertTrue(result.isDone(), "the search for " + id + " has not ended");
		return result.join();
	}

	private Set<String> writtenIds() {
		Set<String> ids = new HashSet<>();
		this.log.records.forEach((content) -> OriginRecord.decode(content, 0)
			.orElse(List.of())
			.forEach((stream) -> ids.add(stream.requestId())));
		return ids;
	}

	@Test
	public void makesNoCallWithoutStreams() {
		this.tasks.advance(60_000);
		assertEquals(this.tasks.scheduled(), 0);
		this.origins.onBegun("a", OLD);
		this.tasks.advance(60_000);
		assertEquals(this.log.appends, 1);
		assertEquals(this.tasks.scheduled(), 0);
		assertEquals(this.log.readOffsets, List.of());
	}

	@Test
	public void streamsOfAnIntervalAreOneRecord() {
		this.origins.onBegun("a", OLD);
		this.origins.onBegun("b", NEW);
		this.tasks.advance(INTERVAL_MS - 1);
		assertEquals(this.log.appends, 0);
		this.origins.onBegun("c", OLD);
		this.tasks.advance(1);
		assertEquals(this.log.appends, 1);
		assertEquals(writtenIds(), Set.of("a", "b", "c"));
		SharedStreamOrigins other = otherGateway();
		assertEquals(find(other, "b"), found(NEW));
		assertEquals(find(other, "c"), found(OLD));
	}

	/** Guards against streams that only the gateways that began them can take up. */
	@Test
	public void streamsAreFoundAfterAllGatewaysWereReplaced() {
		this.origins.onBegun("a", OLD);
		otherGateway().onBegun("b", NEW);
		this.tasks.advance(INTERVAL_MS);
		SharedStreamOrigins successor = otherGateway();
		assertEquals(find(successor, "a"), found(OLD));
		assertEquals(find(successor, "b"), found(NEW));
		assertEquals(this.log.readOffsets, List.of(0L));
	}

	@Test
	public void ownStreamIsFoundAtOnceWithoutACall() {
		this.origins.onBegun("a", OLD);
		assertEquals(this.origins.find("a").getNow(NOT_RECORDED), found(OLD));
		assertEquals(this.log.readOffsets, List.of());
		assertTrue(this.meters.scrape().contains("anvilusher_stream_origin_finds_total{outcome=\"local\"} 1.0"),
				this.meters.scrape());
	}

	@Test
	public void failedAppendIsRetriedWithTheNextStreams() {
		this.log.unavailable = true;
		this.origins.onBegun("a", OLD);
		this.tasks.advance(INTERVAL_MS);
		this.origins.onBegun("b", OLD);
		this.log.unavailable = false;
		this.tasks.advance(10 * INTERVAL_MS);
		assertEquals(this.log.records.size(), 1);
		assertEquals(writtenIds(), Set.of("a", "b"));
	}

	/** Guards against a lost response that delays the records after it. */
	@Test
	public void appendWithoutAResponseDoesNotDelayTheNext() {
		this.log.holding = true;
		this.origins.onBegun("a", OLD);
		this.tasks.advance(INTERVAL_MS);
		this.origins.onBegun("b", OLD);
		this.tasks.advance(INTERVAL_MS);
		assertEquals(writtenIds(), Set.of("a", "b"));
	}

	@Test
	public void callsAnUnavailableStoreLessOften() {
		this.log.unavailable = true;
		this.origins.onBegun("a", OLD);
		this.tasks.advance(60_000);
		assertTrue(this.log.appends >= 3 && this.log.appends <= LONGEST_STREAM_MS / INTERVAL_MS / 4,
				this.log.appends + " appends");
	}

	@Test
	public void streamsThatHaveEndedAreNotWrittenAnyMore() {
		this.log.unavailable = true;
		this.origins.onBegun("a", OLD);
		this.tasks.advance(LONGEST_STREAM_MS + 10_000);
		this.log.unavailable = false;
		this.tasks.advance(LONGEST_STREAM_MS);
		assertEquals(writtenIds(), Set.of());
		assertEquals(this.tasks.scheduled(), 0);
	}

	@Test
	public void streamsWaitingForTheStoreAreBoundedInNumberAndRecordsInSize() {
		this.origins = gateway(100_000_000, this.meters);
		this.log.unavailable = true;
		IntStream.range(0, 20_000).forEach((index) -> this.origins.onBegun("\u00e9".repeat(50) + index, OLD));
		this.tasks.advance(INTERVAL_MS);
		this.log.unavailable = false;
		this.tasks.advance(10_000);
		assertEquals(writtenIds().size(), 8_192);
		assertTrue(writtenIds().contains("\u00e9".repeat(50) + 19_999));
		this.log.records.forEach((content) -> assertTrue(content.length < STORE_RECORD_BYTES, content.length + " B"));
		assertTrue(this.meters.scrape().contains("anvilusher_stream_origin_lost_total{reason=\"too_many\"} 11808.0"),
				this.meters.scrape());
	}

	@Test
	public void recordsOfManyOriginsAreBoundedInSize() {
		IntStream.range(0, 2_000)
			.forEach((index) -> this.origins.onBegun("id" + index,
					new StreamOrigin("\u0001".repeat(250), "\u0001".repeat(240) + index)));
		this.tasks.advance(20_000);
		this.log.records.forEach((content) -> assertTrue(content.length < STORE_RECORD_BYTES, content.length + " B"));
		assertTrue(this.log.records.size() > 10);
	}

	@Test
	public void searchesShareOneRead() {
		otherGateway().onBegun("a", OLD);
		this.tasks.advance(INTERVAL_MS);
		this.log.holding = true;
		this.origins.find("first");
		this.tasks.runDue();
		List<CompletableFuture<OriginSearch>> results = new ArrayList<>();
		IntStream.range(0, 50).forEach((index) -> results.add(this.origins.find((index == 7) ? "a" : "x" + index)));
		this.tasks.runDue();
		assertEquals(this.log.readOffsets.size(), 1);
		this.log.release();
		this.tasks.runDue();
		assertEquals(this.log.readOffsets.size(), 2);
		assertTrue(results.stream().allMatch(CompletableFuture::isDone));
		assertEquals(results.get(7).join(), found(OLD));
		assertEquals(results.get(8).join(), NOT_RECORDED);
	}

	/** Guards against a stream that counts as unknown because it was read too early. */
	@Test
	public void searchDuringAReadWaitsForTheNextRead() {
		this.log.holding = true;
		CompletableFuture<OriginSearch> first = this.origins.find("a");
		this.tasks.runDue();
		this.log.records.add(OriginRecord.encode(List.of(new BegunStream("a", OLD, 0))));
		CompletableFuture<OriginSearch> second = this.origins.find("a");
		this.tasks.runDue();
		this.log.release();
		this.tasks.runDue();
		assertEquals(first.join(), NOT_RECORDED);
		assertEquals(second.join(), found(OLD));
	}

	@Test
	public void onlyNewRecordsAreRead() {
		SharedStreamOrigins other = otherGateway();
		other.onBegun("a", OLD);
		this.tasks.advance(INTERVAL_MS);
		assertEquals(find(this.origins, "a"), found(OLD));
		other.onBegun("b", NEW);
		this.tasks.advance(INTERVAL_MS);
		assertEquals(find(this.origins, "b"), found(NEW));
		assertEquals(find(this.origins, "c"), NOT_RECORDED);
		assertEquals(this.log.readOffsets, List.of(0L, 1L, 2L));
	}

	@Test
	public void logIsReadToItsEndInParts() {
		SharedStreamOrigins other = otherGateway();
		for (int index = 0; index < 10; index++) {
			other.onBegun("id" + index, OLD);
			this.tasks.advance(INTERVAL_MS);
		}
		this.log.recordsPerRead = 3;
		this.log.firstOffset = 2;
		assertEquals(find(this.origins, "id9"), found(OLD));
		assertEquals(this.log.readOffsets, List.of(0L, 2L, 5L, 8L));
		assertEquals(find(this.origins, "id0"), NOT_RECORDED);
	}

	@Test
	public void searchEndsWhileTheStoreIsUnavailable() {
		this.log.unavailable = true;
		CompletableFuture<OriginSearch> result = this.origins.find("a");
		this.tasks.advance(PATIENCE_MS - 1);
		assertFalse(result.isDone());
		this.tasks.advance(1);
		assertEquals(result.join(), UNAVAILABLE);
		assertTrue(this.log.readOffsets.size() > 2 && this.log.readOffsets.size() < 10,
				this.log.readOffsets.toString());
		this.tasks.advance(5_000);
		assertEquals(this.tasks.scheduled(), 0);
		assertTrue(this.meters.scrape().contains("outcome=\"unavailable\"} 1.0"), this.meters.scrape());
	}

	@Test
	public void searchSurvivesAShortOutage() {
		otherGateway().onBegun("a", OLD);
		this.tasks.advance(INTERVAL_MS);
		this.log.unavailable = true;
		CompletableFuture<OriginSearch> result = this.origins.find("a");
		this.tasks.advance(PATIENCE_MS / 2);
		this.log.unavailable = false;
		this.tasks.advance(PATIENCE_MS / 2);
		assertEquals(result.join(), found(OLD));
	}

	@Test
	public void searchEndsWhileTheStoreIsSilentAndLaterOnesAreAnswered() {
		otherGateway().onBegun("a", OLD);
		this.tasks.advance(INTERVAL_MS);
		this.log.holding = true;
		CompletableFuture<OriginSearch> result = this.origins.find("x");
		this.tasks.advance(PATIENCE_MS);
		assertEquals(result.join(), UNAVAILABLE);
		this.log.release();
		assertEquals(find(this.origins, "a"), found(OLD));
	}

	/** Guards against streams that a store has lost with its newest records. */
	@Test
	public void streamsAreWrittenAgainOnceTheStoreReturnsFromAnOlderCopy() {
		SharedStreamOrigins other = otherGateway();
		other.onBegun("a", OLD);
		this.origins.onBegun("b", NEW);
		this.tasks.advance(INTERVAL_MS);
		assertEquals(find(this.origins, "a"), found(OLD));
		this.log.restore(0);
		this.origins.onBegun("c", NEW);
		other.onBegun("d", OLD);
		this.tasks.advance(3 * INTERVAL_MS);
		SharedStreamOrigins successor = otherGateway();
		for (String id : List.of("a", "b", "c", "d")) {
			assertTrue(find(successor, id) instanceof OriginSearch.Found, id);
		}
	}

	/** Guards against records that are skipped because offsets were given out again. */
	@Test
	public void logIsReadFromItsBeginningOnceTheStoreReturnsFromAnOlderCopy() {
		this.log.records.add(OriginRecord.encode(List.of(new BegunStream("old", OLD, 0))));
		this.log.records.add(OriginRecord.encode(List.of(new BegunStream("lost", OLD, 0))));
		assertEquals(find(this.origins, "lost"), found(OLD));
		this.log.restore(1);
		this.log.records.add(OriginRecord.encode(List.of(new BegunStream("a", NEW, 0))));
		this.log.records.add(OriginRecord.encode(List.of(new BegunStream("b", NEW, 0))));
		this.log.records.add(OriginRecord.encode(List.of(new BegunStream("c", NEW, 0))));
		assertEquals(find(this.origins, "a"), found(NEW));
	}

	@Test
	public void searchWaitsForStreamsThatAreWrittenAgain() {
		SharedStreamOrigins other = otherGateway();
		other.onBegun("a", OLD);
		this.tasks.advance(INTERVAL_MS);
		find(this.origins, "x");
		this.log.restore(0);
		CompletableFuture<OriginSearch> found = this.origins.find("a");
		CompletableFuture<OriginSearch> unknown = this.origins.find("y");
		this.tasks.runDue();
		other.onBegun("b", OLD);
		this.tasks.advance(INTERVAL_MS);
		assertFalse(unknown.isDone());
		this.tasks.advance(5 * INTERVAL_MS);
		assertEquals(found.join(), found(OLD));
		assertEquals(unknown.join(), NOT_RECORDED);
	}

	@Test
	public void memoryIsBoundedWhateverTheLogHolds() {
		SharedStreamOrigins small = gateway(100_000, this.meters);
		for (int part = 0; part < 20; part++) {
			int number = part;
			this.log.records.add(OriginRecord.encode(IntStream.range(0, 5_000)
				.mapToObj((index) -> new BegunStream("id-" + number + "-" + index, OLD, 0))
				.toList()));
		}
		assertEquals(find(small, "id-0-0"), found(OLD));
		assertEquals(find(small, "id-19-4999"), found(OLD));
		assertTrue(this.meters.scrape().matches("(?s).*\nanvilusher_stream_origins \\d{1,3}\\.0\n.*"),
				this.meters.scrape());
	}

	@Test
	public void indexKeepsTheNewestStreamsWithinItsBound() {
		OriginIndex index = new OriginIndex(10_000);
		IntStream.range(0, 1_000).forEach((number) -> index.add(new BegunStream("id" + number, OLD, number), true));
		assertTrue(index.size() > 10 && index.size() < 50, index.size() + " streams");
		assertEquals(index.find("id999"), Optional.of(OLD));
		assertEquals(index.find("id0"), Optional.empty());
		index.forget(990);
		assertEquals(index.size(), 10);
		index.add(new BegunStream("id995", NEW, 2_000), true);
		assertEquals(index.find("id995"), Optional.of(NEW));
		index.forget(1_500);
		assertEquals(index.own().size(), 1);
	}

	@DataProvider
	public Object[][] oddRecords() {
		return new Object[][] { { "" }, { "null" }, { "1" }, { "[]" }, { "{}" }, { "{\"format\":" }, { "\u0000\u0001" },
				{ "[".repeat(100_000) }, { "{\"a\":".repeat(50_000) },
				{ "{\"format\":2,\"streams\":[[\"chat\",\"v1\",[\"a\"]]]}" },
				{ "{\"format\":1e300,\"streams\":[[\"chat\",\"v1\",[\"a\"]]]}" },
				{ "{\"format\":1,\"streams\":{\"a\":1}}" }, { "{\"format\":1,\"streams\":[1,null]}" },
				{ "{\"format\":1,\"streams\":[[\"chat\",2,[\"a\"]]]}" },
				{ "{\"format\":1,\"streams\":[[\"chat\",\"v1\",\"a\"]]}" },
				{ "{\"format\":1,\"streams\":[[\"chat\",\"v1\",[{\"a\":1}]]]}" } };
	}

	@Test(dataProvider = "oddRecords")
	public void recordsThatCannotBeReadAreSkipped(String text) {
		this.log.records.add(text.getBytes(StandardCharsets.UTF_8));
		this.log.records.add(OriginRecord.encode(List.of(new BegunStream("b", NEW, 0))));
		assertEquals(find(this.origins, "b"), found(NEW));
		assertEquals(find(this.origins, "a"), NOT_RECORDED);
		assertTrue(this.meters.scrape().contains("anvilusher_stream_origin_unreadable_total 1.0"),
				this.meters.scrape());
	}

	@DataProvider
	public Object[][] texts() {
		String latin = IntStream.range(0, 64)
			.mapToObj((code) -> Character.toString(0x80 + code))
			.reduce("", String::concat);
		return new Object[][] { { "\"\\/\b\f\n\r\t" }, { "\u0000\u001f\u007f" }, { latin }, { "\u2028\uffff" },
				{ "\ud83d\ude00" }, { "\ud800" }, { "\udc00x\ud800" }, { "" } };
	}

	@Test(dataProvider = "texts")
	public void anyTextIsRecorded(String text) {
		StreamOrigin origin = new StreamOrigin("s" + text, "v" + text);
		this.origins.onBegun("id" + text, origin);
		this.tasks.advance(INTERVAL_MS);
		assertEquals(find(otherGateway(), "id" + text), found(origin));
	}

	@Test
	public void longIdsAreNeitherRecordedNorSearchedFor() {
		String id = "x".repeat(129);
		this.origins.onBegun(id, OLD);
		this.origins.onBegun("y".repeat(128), OLD);
		this.tasks.advance(INTERVAL_MS);
		assertEquals(writtenIds(), Set.of("y".repeat(128)));
		assertEquals(this.origins.find(id).getNow(found(OLD)), NOT_RECORDED);
		assertEquals(this.log.readOffsets, List.of());
	}

}
