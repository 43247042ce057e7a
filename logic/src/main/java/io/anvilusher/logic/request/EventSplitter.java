package io.anvilusher.logic.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events at event boundaries, so that an event that a
 * server did not complete is never forwarded. Confined to one thread.
 */
public final class EventSplitter {

	/** Maximum size of an event: several times the largest event in use. */
	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final int INITIAL_BUFFER_BYTES = 1_024;

	/** A larger buffer is replaced by a small one when it is nearly empty. */
	private static final int MAX_IDLE_BUFFER_BYTES = 16 * 1024;

	private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

	private int bufferedBytes;

	private int scannedBytes;

	private int lineStart;

	private OptionalLong lastId = OptionalLong.empty();

	private OptionalLong pendingId = OptionalLong.empty();

	private boolean hasFields;

	private boolean idRequired;

	private boolean outOfOrder;

	private int eventCount;

	/**
	 * Returns whether data can be added without exceeding the maximum size of an event.
	 * @param data the next bytes of the stream
	 * @return false if the data and the incomplete event before it are larger than 1 MiB;
	 * the stream is then broken
	 */
	public boolean accepts(ByteBuffer data) {
		return this.bufferedBytes + data.remaining() <= MAX_EVENT_BYTES;
	}

	/**
	 * Adds data from the stream.
	 * @param data the next bytes of the stream
	 * @return all events that are complete now; empty if none is. They end before the
	 * first event that is out of order
	 * @throws IllegalStateException if the data is not {@linkplain #accepts accepted}
	 */
	public byte[] add(ByteBuffer data) {
		int added = data.remaining();
		if (!accepts(data)) {
			throw new IllegalStateException("server-sent event exceeds the limit of " + MAX_EVENT_BYTES + " bytes");
		}
		if (this.bufferedBytes + added > this.buffer.length) {
			int doubledBytes = Math.min(MAX_EVENT_BYTES, this.buffer.length * 2);
			this.buffer = Arrays.copyOf(this.buffer, Math.max(doubledBytes, this.bufferedBytes + added));
		}
		data.get(this.buffer, this.bufferedBytes, added);
		this.bufferedBytes += added;
		return takeCompleteEvents();
	}

	private byte[] takeCompleteEvents() {
		int eventStart = 0;
		while (this.scannedBytes < this.bufferedBytes && !this.outOfOrder) {
			int index = this.scannedBytes;
			this.scannedBytes++;
			if (this.buffer[index] != '\n') {
				continue;
			}
			int lineEnd = (index > this.lineStart && this.buffer[index - 1] == '\r') ? index - 1 : index;
			if (lineEnd != this.lineStart) {
				this.hasFields |= this.buffer[this.lineStart] != ':';
				readId(this.lineStart, lineEnd);
			}
			else if (continuesStream()) {
				this.eventCount++;
				this.idRequired &= !this.hasFields;
				this.lastId = this.pendingId.isPresent() ? this.pendingId : this.lastId;
				this.pendingId = OptionalLong.empty();
				this.hasFields = false;
				eventStart = index + 1;
			}
			else {
				this.outOfOrder = true;
			}
			this.lineStart = index + 1;
		}
		byte[] complete = Arrays.copyOf(this.buffer, eventStart);
		if (eventStart > 0) {
			removeFirst(eventStart);
		}
		return complete;
	}

	private void removeFirst(int bytes) {
		System.arraycopy(this.buffer, bytes, this.buffer, 0, this.bufferedBytes - bytes);
		this.bufferedBytes -= bytes;
		this.scannedBytes -= bytes;
		this.lineStart -= bytes;
		shrinkBuffer();
	}

	private void shrinkBuffer() {
		if (this.buffer.length > MAX_IDLE_BUFFER_BYTES && this.bufferedBytes <= INITIAL_BUFFER_BYTES) {
			this.buffer = Arrays.copyOf(this.buffer, INITIAL_BUFFER_BYTES);
		}
	}

	/**
	 * Returns the memory that the incomplete event needs.
	 * @return size of the buffer, in bytes
	 */
	public int memoryBytes() {
		return this.buffer.length;
	}

	private boolean continuesStream() {
		if (this.pendingId.isEmpty()) {
			return !(this.idRequired && this.hasFields);
		}
		return this.lastId.isEmpty() || this.pendingId.getAsLong() > this.lastId.getAsLong();
	}

	private void readId(int start, int end) {
		if (end - start <= ID_FIELD.length
				|| !Arrays.equals(this.buffer, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
			return;
		}
		String id = new String(this.buffer, start + ID_FIELD.length, end - start - ID_FIELD.length,
				StandardCharsets.US_ASCII)
			.trim();
		boolean numeric = !id.isEmpty() && id.length() < 19 && id.chars().allMatch(Character::isDigit);
		if (numeric) {
			this.pendingId = OptionalLong.of(Long.parseLong(id));
		}
	}

	/**
	 * Returns whether the data so far ends within an event.
	 * @return whether bytes of an incomplete event are buffered
	 */
	public boolean hasPartialEvent() {
		return this.bufferedBytes > 0;
	}

	/**
	 * Returns whether the stream repeats an event or does not continue where the previous
	 * server stopped. Its further data is ignored.
	 * @return whether the id of an event is not larger than the one before, or the first
	 * event of another server has no id although earlier events have one
	 */
	public boolean isOutOfOrder() {
		return this.outOfOrder;
	}

	/**
	 * Discards an incomplete event. Called before another server resumes the stream after
	 * the last complete event.
	 */
	public void dropPartialEvent() {
		this.idRequired = this.lastId.isPresent();
		this.outOfOrder = false;
		this.bufferedBytes = 0;
		this.scannedBytes = 0;
		this.lineStart = 0;
		this.hasFields = false;
		this.pendingId = OptionalLong.empty();
		shrinkBuffer();
	}

	/**
	 * Returns the id of the newest complete event that has a numeric id.
	 * @return the id, or empty before the first such event
	 */
	public OptionalLong lastId() {
		return this.lastId;
	}

	/**
	 * Returns the number of complete events.
	 * @return number of events since the start of the stream
	 */
	public int events() {
		return this.eventCount;
	}

}
