package io.anvilusher.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.model.fleet.RegisteredServer;

import static org.testng.Assert.assertEquals;

public class VersionHistoryTests {

	private static final long READ_MS = 500;

	private static final long STREAM_MS = 10_000;

	private VersionHistory history;

	@BeforeMethod
	public void createHistory() {
		this.history = new VersionHistory(READ_MS);
		this.history.onLongestTimeout(STREAM_MS);
	}

	private static RegisteredServer server(String service, String version) {
		return new RegisteredServer("i-" + service + version, 1, service, "10.0.0.1:80", "a", 4, false,
				Optional.empty(), version);
	}

	private void readFrom(long fromMs, long untilMs) {
		LongStream.iterate(fromMs, (nowMs) -> nowMs <= untilMs, (nowMs) -> nowMs + READ_MS)
			.forEach(this.history::onRead);
	}

	private void register(long nowMs, String... versions) {
		this.history.onServers(Stream.of(versions).map((version) -> server("s", version)).toList(), nowMs);
	}

	private Optional<String> onlyAt(long nowMs) {
		return this.history.onlyVersion("s", nowMs);
	}

	@Test
	public void versionIsTheOnlyOneAfterALongTime() {
		register(0, "v1");
		readFrom(0, 20_000);
		assertEquals(onlyAt(20_000), Optional.of("v1"));
		assertEquals(this.history.onlyVersion("other", 20_000), Optional.empty());
	}

	/** Guards against a restarted gateway that knows only what is left. */
	@Test
	public void nothingIsKnownOfTheTimeBeforeTheStart() {
		register(0, "v1");
		readFrom(0, STREAM_MS);
		assertEquals(onlyAt(STREAM_MS), Optional.empty());
		readFrom(STREAM_MS, STREAM_MS + READ_MS);
		assertEquals(onlyAt(STREAM_MS + READ_MS), Optional.of("v1"));
	}

	@Test
	public void versionThatLeftCountsAsLongAsItsStreamsLast() {
		register(0, "v1", "v2");
		readFrom(0, 20_000);
		register(20_000, "v2");
		readFrom(20_000, 30_000);
		assertEquals(onlyAt(30_000), Optional.empty());
		readFrom(30_000, 30_500);
		assertEquals(onlyAt(30_500), Optional.of("v2"));
	}

	/** Guards against a version that came and left between two reads. */
	@Test
	public void registrationThatWasReplacedAtOnceCounts() {
		register(0, "v1");
		readFrom(0, 20_000);
		this.history.onRegistration(server("s", "v2"), 20_000);
		register(20_000, "v1");
		assertEquals(onlyAt(20_000), Optional.empty());
		assertEquals(this.history.onlyVersionSinceStart("s", 20_000), Optional.empty());
	}

	@Test
	public void interruptedViewShowsNothing() {
		register(0, "v1");
		readFrom(0, 20_000);
		this.history.onUnreachable();
		assertEquals(onlyAt(20_000), Optional.empty());
		readFrom(20_500, 30_500);
		assertEquals(onlyAt(30_500), Optional.empty());
		readFrom(31_000, 31_000);
		assertEquals(onlyAt(31_000), Optional.of("v1"));
	}

	/** Guards against a process that was frozen, which no read shows as failed. */
	@Test
	public void longPauseBetweenTwoReadsInterruptsTheView() {
		register(0, "v1");
		readFrom(0, 20_000);
		assertEquals(onlyAt(20_501), Optional.empty());
		readFrom(20_501, 20_501);
		assertEquals(onlyAt(20_501), Optional.empty());
	}

	/**
	 * Guards against a version that came and went while the store dropped its history.
	 */
	@Test
	public void missedChangesCountAsLongAsStreamsLast() {
		register(0, "v1");
		readFrom(0, 20_000);
		this.history.onChangesMissed(20_000);
		assertEquals(onlyAt(20_000), Optional.empty());
		assertEquals(this.history.onlyVersionSinceStart("s", 20_000), Optional.empty());
		assertEquals(this.history.onlyVersionSinceStart("s", 30_000), Optional.empty());
		assertEquals(this.history.onlyVersionSinceStart("s", 30_001), Optional.of("v1"));
	}

	@Test
	public void unknownVersionIsNoOnlyVersion() {
		register(0, "");
		readFrom(0, 20_000);
		assertEquals(onlyAt(20_000), Optional.empty());
		assertEquals(this.history.onlyVersionSinceStart("s", 20_000), Optional.empty());
	}

	@Test
	public void manyVersionsAreStillSeveral() {
		IntStream.range(0, 100).forEach((index) -> register(index, "v" + index));
		register(100, List.of("v1").toArray(String[]::new));
		assertEquals(this.history.onlyVersionSinceStart("s", 20_000), Optional.empty());
	}

	@Test
	public void shorterTimeoutOfANewTableChangesNothing() {
		register(0, "v1");
		readFrom(0, 5_000);
		this.history.onLongestTimeout(1_000);
		assertEquals(onlyAt(5_000), Optional.empty());
	}

}
