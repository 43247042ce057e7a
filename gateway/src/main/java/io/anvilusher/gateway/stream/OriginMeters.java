package io.anvilusher.gateway.stream;

import io.micrometer.core.instrument.Counter;

import io.anvilusher.adapters.metrics.Meters;

/**
 * Metrics of the streams that have begun and of those that are taken up.
 */
final class OriginMeters {

	private final Meters meters;

	private final Counter foundLocally;

	/**
	 * Creates the metrics.
	 * @param meters metrics of this process
	 * @param index the streams that are known
	 */
	OriginMeters(Meters meters, OriginIndex index) {
		this.meters = meters;
		this.foundLocally = find("local");
		meters.gauge("anvilusher.stream.origins", index, OriginIndex::size);
	}

	private Counter find(String outcome) {
		return this.meters.counter("anvilusher.stream.origin.finds", "outcome", outcome);
	}

	/**
	 * Counts a stream that was known at this gateway.
	 */
	void onFoundLocally() {
		this.foundLocally.increment();
	}

	/**
	 * Counts a stream that was read from the store.
	 */
	void onFoundInStore() {
		find("store").increment();
	}

	/**
	 * Counts a stream that is not in the log.
	 */
	void onUnknown() {
		find("unknown").increment();
	}

	/**
	 * Counts a search that ended since the store gave no record.
	 */
	void onGivenUp() {
		find("unavailable").increment();
	}

	/**
	 * Counts an append.
	 * @param accepted whether the store confirmed it
	 */
	void onAppend(boolean accepted) {
		this.meters.counter("anvilusher.stream.origin.appends", "outcome", accepted ? "ok" : "unavailable").increment();
	}

	/**
	 * Counts a read.
	 * @param usable whether there was a usable response
	 */
	void onRead(boolean usable) {
		this.meters.counter("anvilusher.stream.origin.reads", "outcome", usable ? "ok" : "unavailable").increment();
	}

	/**
	 * Counts a record that is not readable.
	 */
	void onUnreadable() {
		this.meters.counter("anvilusher.stream.origin.unreadable").increment();
	}

	/**
	 * Counts streams that are not recorded.
	 * @param reason value of the label
	 * @param streams number of streams
	 */
	void onNotRecorded(String reason, long streams) {
		this.meters.counter("anvilusher.stream.origin.lost", "reason", reason).increment(streams);
	}

}
