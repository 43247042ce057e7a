package io.anvilusher.gateway.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.gateway.control.StoreLog;
import io.anvilusher.gateway.control.StoreLog.ReadResult;

/**
 * Finds streams of other gateways, and of earlier runs of this one, in the shared log.
 * All searches share one read at a time; without a search, nothing is read. Runs on the
 * control thread.
 */
final class OriginReader {

	private static final Logger LOGGER = LoggerFactory.getLogger(OriginReader.class);

	/**
	 * Time without a record read after which a search ends. A caller that asks for a
	 * stream waits meanwhile.
	 */
	static final long PATIENCE_MS = 400;

	/** Delay before a failed read is retried. */
	private static final long RETRY_DELAY_MS = 100;

	/**
	 * Time that the gateways get to write their streams again after the store returned
	 * from an older copy.
	 */
	private static final long REWRITE_MS = 400;

	private final StoreLog log;

	private final OriginThreads threads;

	private final OriginSettings settings;

	private final OriginIndex index;

	private final OriginMeters meters;

	private final IntSupplier eraChanges;

	/** Searches that the next read answers. */
	private final List<Search> waiting = new ArrayList<>();

	/** Searches that the read in flight answers once it has reached the end. */
	private final List<Search> asked = new ArrayList<>();

	private long nextOffset;

	private boolean reading;

	private boolean historyDropped;

	private long progressAtMs = Long.MIN_VALUE / 2;

	private long restartedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates a reader.
	 * @param log the shared log
	 * @param threads threads and clock
	 * @param settings life of the streams
	 * @param index gets the streams that are read
	 * @param meters metrics
	 * @param eraChanges handles a change of the store's era, if there is a new one, and
	 * returns the number of changes so far
	 */
	OriginReader(StoreLog log, OriginThreads threads, OriginSettings settings, OriginIndex index, OriginMeters meters,
			IntSupplier eraChanges) {
		this.log = log;
		this.threads = threads;
		this.settings = settings;
		this.index = index;
		this.meters = meters;
		this.eraChanges = eraChanges;
	}

	/**
	 * Searches for a stream.
	 * @param requestId identifier of the request
	 * @param result is completed on the traffic thread
	 */
	void find(String requestId, CompletableFuture<OriginSearch> result) {
		Search search = new Search(requestId, result, this.threads.clock().nowMs());
		// A read may have ended since the traffic thread asked the index.
		Optional<StreamOrigin> known = this.index.find(requestId);
		if (known.isPresent()) {
			this.meters.onFoundInStore();
			complete(search, new OriginSearch.Found(known.get()));
			return;
		}
		this.waiting.add(search);
		this.threads.control().after(PATIENCE_MS, () -> giveUpIfIdle(search));
		if (!this.reading) {
			this.reading = true;
			read();
		}
	}

	/**
	 * Reads the log from its first offset on next time.
	 */
	void restart() {
		this.nextOffset = 0;
		this.restartedAtMs = this.threads.clock().nowMs();
	}

	private void read() {
		this.asked.addAll(this.waiting);
		this.waiting.clear();
		if (this.asked.isEmpty()) {
			this.reading = false;
			return;
		}
		int changesBefore = this.eraChanges.getAsInt();
		this.log.read(this.nextOffset, 0).exceptionally((failure) -> {
			LOGGER.error("A read of the log of streams failed unexpectedly", failure);
			return new ReadResult.Unavailable(failure.toString());
		})
			.thenAccept((result) -> this.threads.control()
				.after(0, () -> onResult(result, this.eraChanges.getAsInt() != changesBefore)));
	}

	private void onResult(ReadResult result, boolean eraChanged) {
		this.meters.onRead(!(result instanceof ReadResult.Unavailable));
		if (result instanceof ReadResult.Records records) {
			onRecords(records, eraChanged);
		}
		else if (result instanceof ReadResult.HistoryDropped dropped) {
			onHistoryDropped(dropped.firstOffset());
		}
		else {
			retryLater();
		}
	}

	private void onHistoryDropped(long firstOffset) {
		this.nextOffset = firstOffset;
		if (this.historyDropped) {
			retryLater();
			return;
		}
		this.historyDropped = true;
		read();
	}

	private void onRecords(ReadResult.Records records, boolean eraChanged) {
		this.historyDropped = false;
		if (!records.contents().isEmpty()) {
			this.progressAtMs = this.threads.clock().nowMs();
		}
		apply(records.contents());
		if (eraChanged) {
			// The offset was one of the era before.
			read();
			return;
		}
		this.nextOffset = records.nextOffset();
		if (this.nextOffset < records.endOffset()) {
			if (records.contents().isEmpty()) {
				retryLater();
			}
			else {
				read();
			}
		}
		else if (this.threads.clock().nowMs() - this.restartedAtMs < REWRITE_MS) {
			retryLater();
		}
		else {
			this.asked.forEach((search) -> {
				this.meters.onUnknown();
				complete(search, new OriginSearch.NotRecorded());
			});
			this.asked.clear();
			read();
		}
	}

	private void retryLater() {
		this.historyDropped = false;
		this.threads.control().after(RETRY_DELAY_MS, this::read);
	}

	private void apply(List<byte[]> contents) {
		long nowMs = this.threads.clock().nowMs();
		Map<String, List<Search>> searches = Stream.of(this.waiting, this.asked)
			.flatMap(List::stream)
			.collect(Collectors.groupingBy(Search::requestId, HashMap::new, Collectors.toList()));
		this.index.forget(nowMs - this.settings.longestStreamMs().getAsLong());
		for (byte[] content : contents) {
			Optional<List<BegunStream>> streams = OriginRecord.decode(content, nowMs);
			if (streams.isEmpty()) {
				this.meters.onUnreadable();
			}
			streams.orElseGet(List::of).stream().filter(BegunStream::isRecordable).forEach((stream) -> {
				this.index.add(stream, false);
				// The index may be too small for all streams of the log.
				Optional.ofNullable(searches.remove(stream.requestId()))
					.ifPresent((found) -> onFound(found, stream.origin()));
			});
		}
	}

	private void onFound(List<Search> found, StreamOrigin origin) {
		this.waiting.removeAll(found);
		this.asked.removeAll(found);
		found.forEach((search) -> {
			this.meters.onFoundInStore();
			complete(search, new OriginSearch.Found(origin));
		});
	}

	private void giveUpIfIdle(Search search) {
		if (!this.waiting.contains(search) && !this.asked.contains(search)) {
			return;
		}
		long idleMs = this.threads.clock().nowMs() - Math.max(search.startedAtMs(), this.progressAtMs);
		if (idleMs < PATIENCE_MS) {
			this.threads.control().after(PATIENCE_MS - idleMs, () -> giveUpIfIdle(search));
			return;
		}
		this.waiting.remove(search);
		this.asked.remove(search);
		this.meters.onGivenUp();
		complete(search, new OriginSearch.Unavailable());
	}

	private void complete(Search search, OriginSearch outcome) {
		this.threads.traffic().execute(() -> search.result().complete(outcome));
	}

	/**
	 * A search for a stream.
	 *
	 * @param requestId identifier of the request
	 * @param result gets the outcome
	 * @param startedAtMs when it began, by the monotonic clock
	 */
	private record Search(String requestId, CompletableFuture<OriginSearch> result, long startedAtMs) {

	}

}
