package io.anvilusher.logic.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Cuts a stream of server-sent events at the ends of events, so that an event that a
 * server did not finish is never passed on. Used from one thread.
 */
public final class EventSplitter {

	/** Largest event, in bytes. Source: several times the largest event in use. */
	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private byte[] held = new byte[1024];

	private int heldBytes;

	private OptionalLong lastId = OptionalLong.empty();

	private OptionalLong pendingId = OptionalLong.empty();

	private int events;

	/**
	 * Adds bytes of the stream.
	 * @param data the bytes
	 * @return the whole events that are complete now, in one piece; empty if none is
	 * @throws IllegalStateException if an event is larger than 1 MiB
	 */
	public byte[] add(ByteBuffer data) {
		int added = data.remaining();
		if (this.heldBytes + added > MAX_EVENT_BYTES) {
			throw new IllegalStateException("Event of more than " + MAX_EVENT_BYTES + " bytes");
		}
		if (this.heldBytes + added > this.held.length) {
			this.held = Arrays.copyOf(this.held, Math.max(this.held.length * 2, this.heldBytes + added));
		}
		data.get(this.held, this.heldBytes, added);
		this.heldBytes += added;
		return takeWholeEvents();
	}

	private byte[] takeWholeEvents() {
		int eventStart = 0;
		int lineStart = 0;
		for (int index = 0; index < this.heldBytes; index++) {
			if (this.held[index] != '\n') {
				continue;
			}
			int lineEnd = (index > lineStart && this.held[index - 1] == '\r') ? index - 1 : index;
			if (lineEnd == lineStart) {
				this.events++;
				this.lastId = this.pendingId.isPresent() ? this.pendingId : this.lastId;
				this.pendingId = OptionalLong.empty();
				eventStart = index + 1;
			}
			else {
				readId(lineStart, lineEnd);
			}
			lineStart = index + 1;
		}
		byte[] whole = Arrays.copyOf(this.held, eventStart);
		System.arraycopy(this.held, eventStart, this.held, 0, this.heldBytes - eventStart);
		this.heldBytes -= eventStart;
		return whole;
	}

	private void readId(int start, int end) {
		if (end - start <= ID_FIELD.length
				|| !Arrays.equals(this.held, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
			return;
		}
		String id = new String(this.held, start + ID_FIELD.length, end - start - ID_FIELD.length,
				StandardCharsets.US_ASCII)
			.trim();
		boolean numeric = !id.isEmpty() && id.length() < 19 && id.chars().allMatch(Character::isDigit);
		if (numeric) {
			this.pendingId = OptionalLong.of(Long.parseLong(id));
		}
	}

	/**
	 * Tells whether an event has begun that is not complete.
	 * @return whether bytes are held back
	 */
	public boolean hasPartialEvent() {
		return this.heldBytes > 0;
	}

	/**
	 * Drops an event that is not complete, before another server continues the stream.
	 */
	public void dropPartialEvent() {
		this.heldBytes = 0;
		this.pendingId = OptionalLong.empty();
	}

	/**
	 * Returns the id of the newest whole event.
	 * @return the id, or empty before the first event that has one
	 */
	public OptionalLong lastId() {
		return this.lastId;
	}

	/**
	 * Returns the number of whole events.
	 * @return events so far
	 */
	public int events() {
		return this.events;
	}

}
