package io.anvilusher.gateway.stream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.gateway.control.StoreLog;

/**
 * Appends the streams that begin at this gateway to the shared log, those of an interval
 * in one record. Makes no call while none begin. Runs on the control thread, except for
 * {@link #add(BegunStream)}.
 */
final class OriginWriter {

	private static final Logger LOGGER = LoggerFactory.getLogger(OriginWriter.class);

	/** Largest record, should all its texts be escaped. */
	private static final int MAX_RECORD_BYTES = 128 * 1024;

	/** Longest form of a character in a record. */
	private static final int MAX_ESCAPE_BYTES = 6;

	/** Quotes, comma and brackets of a text. */
	private static final int FRAME_CHARACTERS = 5;

	/** Streams that are kept for the next record. */
	private static final int MAX_UNWRITTEN = 8_192;

	/**
	 * Appends without an outcome at a time; a lost response does not delay the records
	 * after it.
	 */
	private static final int MAX_APPENDS = 4;

	/** How often the interval is doubled while appends fail. */
	private static final int MAX_DOUBLINGS = 3;

	private final StoreLog log;

	private final OriginThreads threads;

	private final OriginSettings settings;

	private final OriginMeters meters;

	private final Runnable eraCheck;

	/** Guarded by itself. */
	private final Map<String, BegunStream> unwritten = new LinkedHashMap<>();

	/** Guarded by {@link #unwritten}. */
	private boolean scheduled;

	private volatile int doublings;

	private int appends;

	/**
	 * Creates a writer.
	 * @param log the shared log
	 * @param threads control thread and clock
	 * @param settings interval and life of the streams
	 * @param meters metrics
	 * @param eraCheck is run after each response of the store
	 */
	OriginWriter(StoreLog log, OriginThreads threads, OriginSettings settings, OriginMeters meters, Runnable eraCheck) {
		this.log = log;
		this.threads = threads;
		this.settings = settings;
		this.meters = meters;
		this.eraCheck = eraCheck;
	}

	/**
	 * Adds a stream to the next record. May be called on any thread.
	 * @param stream the stream
	 */
	void add(BegunStream stream) {
		addAll(List.of(stream));
	}

	/**
	 * Adds streams to the next record. May be called on any thread.
	 * @param streams the streams
	 */
	void addAll(List<BegunStream> streams) {
		int lost;
		synchronized (this.unwritten) {
			streams.forEach((stream) -> this.unwritten.put(stream.requestId(), stream));
			lost = dropExcess();
			schedule();
		}
		if (lost > 0) {
			this.meters.onNotRecorded("too_many", lost);
		}
	}

	private int dropExcess() {
		int excess = Math.max(0, this.unwritten.size() - MAX_UNWRITTEN);
		Iterator<String> oldest = this.unwritten.keySet().iterator();
		for (int index = 0; index < excess; index++) {
			oldest.next();
			oldest.remove();
		}
		return excess;
	}

	private void schedule() {
		if (!this.scheduled && !this.unwritten.isEmpty()) {
			this.scheduled = true;
			this.threads.control().after(this.settings.intervalMs() << this.doublings, this::append);
		}
	}

	private void append() {
		List<BegunStream> batch = nextBatch();
		if (batch.isEmpty()) {
			return;
		}
		this.appends++;
		this.log.append(OriginRecord.encode(batch)).exceptionally((failure) -> {
			LOGGER.error("An append to the log of streams failed unexpectedly", failure);
			return false;
		}).thenAccept((accepted) -> this.threads.control().after(0, () -> onAppended(batch, accepted)));
	}

	private List<BegunStream> nextBatch() {
		List<BegunStream> batch = new ArrayList<>();
		synchronized (this.unwritten) {
			this.scheduled = false;
			long oldestMs = this.threads.clock().nowMs() - this.settings.longestStreamMs().getAsLong();
			this.unwritten.values().removeIf((stream) -> stream.knownAtMs() < oldestMs);
			if (this.appends < MAX_APPENDS) {
				takeInto(batch);
			}
			schedule();
		}
		return batch;
	}

	private void takeInto(List<BegunStream> batch) {
		Set<StreamOrigin> origins = new HashSet<>();
		Iterator<BegunStream> oldest = this.unwritten.values().iterator();
		int bytes = 0;
		while (oldest.hasNext()) {
			BegunStream stream = oldest.next();
			StreamOrigin origin = stream.origin();
			bytes += recordBytes(stream.requestId());
			if (origins.add(origin)) {
				bytes += recordBytes(origin.service()) + recordBytes(origin.softwareVersion());
			}
			if (bytes > MAX_RECORD_BYTES) {
				return;
			}
			batch.add(stream);
			oldest.remove();
		}
	}

	private static int recordBytes(String text) {
		return (text.length() + FRAME_CHARACTERS) * MAX_ESCAPE_BYTES;
	}

	private void onAppended(List<BegunStream> batch, boolean accepted) {
		this.appends--;
		this.meters.onAppend(accepted);
		this.doublings = accepted ? Math.max(0, this.doublings - 1) : Math.min(MAX_DOUBLINGS, this.doublings + 1);
		if (!accepted) {
			putBack(batch);
		}
		this.eraCheck.run();
	}

	// Before the streams that have begun since, which are dropped last.
	private void putBack(List<BegunStream> batch) {
		synchronized (this.unwritten) {
			List<BegunStream> newer = List.copyOf(this.unwritten.values());
			this.unwritten.clear();
			addAll(batch);
			addAll(newer);
		}
	}

}
