package io.anvilusher.gateway.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The streams that this gateway knows of, within a bound of memory: the stream that has
 * been known longest is forgotten first. Thread-safe.
 */
final class OriginIndex {

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private final long maxBytes;

	private long usedBytes;

	/**
	 * Creates an empty index.
	 * @param maxBytes memory for all streams, in bytes
	 */
	OriginIndex(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Adds a stream. One that is known with the same origin keeps its place.
	 * @param stream the stream
	 * @param own whether it began at this gateway
	 */
	synchronized void add(BegunStream stream, boolean own) {
		Entry before = this.entries.get(stream.requestId());
		if (before != null && before.stream().origin().equals(stream.origin())) {
			return;
		}
		remove(stream.requestId());
		this.entries.put(stream.requestId(), new Entry(stream, own));
		this.usedBytes += stream.memoryBytes();
		while (this.usedBytes > this.maxBytes) {
			remove(this.entries.keySet().iterator().next());
		}
	}

	private void remove(String requestId) {
		Entry removed = this.entries.remove(requestId);
		if (removed != null) {
			this.usedBytes -= removed.stream().memoryBytes();
		}
	}

	/**
	 * Finds the origin of a stream.
	 * @param requestId identifier of the request
	 * @return the origin, or empty if the stream is not known here
	 */
	synchronized Optional<StreamOrigin> find(String requestId) {
		return Optional.ofNullable(this.entries.get(requestId)).map((entry) -> entry.stream().origin());
	}

	/**
	 * Forgets the streams that have been known for longer than any stream lasts.
	 * @param knownBeforeMs time of the monotonic clock
	 */
	synchronized void forget(long knownBeforeMs) {
		Iterator<Entry> oldest = this.entries.values().iterator();
		while (oldest.hasNext()) {
			BegunStream stream = oldest.next().stream();
			if (stream.knownAtMs() >= knownBeforeMs) {
				return;
			}
			oldest.remove();
			this.usedBytes -= stream.memoryBytes();
		}
	}

	/**
	 * Returns the streams that began at this gateway.
	 * @return the streams, the one that began first before the others
	 */
	synchronized List<BegunStream> own() {
		return this.entries.values().stream().filter(Entry::own).map(Entry::stream).toList();
	}

	/**
	 * Returns the number of streams.
	 * @return the number
	 */
	synchronized int size() {
		return this.entries.size();
	}

	/**
	 * A stream of the index.
	 *
	 * @param stream the stream
	 * @param own whether it began at this gateway
	 */
	private record Entry(BegunStream stream, boolean own) {

	}

}
