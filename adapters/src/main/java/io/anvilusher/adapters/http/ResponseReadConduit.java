package io.anvilusher.adapters.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.logic.admission.MemoryBudget;

/**
 * Reads the responses of one connection to a server. It reports that no data is available
 * after a number of bytes, so that a reader that reads as long as data arrives returns to
 * the event loop. It fails if a server sends a head, or framing of a body, without end:
 * the client's parser keeps such bytes in memory and reports nothing until they end. It
 * also fails if the bytes break a rule for responses.
 */
final class ResponseReadConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private static final Logger LOGGER = LoggerFactory.getLogger(ResponseReadConduit.class);

	/** Bytes that may be read at once; some buffers of the reader. */
	static final int MAX_BYTES_PER_TURN = 64 * 1024;

	/**
	 * Most bytes of a response that may belong to its head or to the framing of its body:
	 * several times the largest head that servers send.
	 */
	private static final long MAX_OVERHEAD_BYTES = 256 * 1024;

	/**
	 * Most bytes of framing for each byte of the body; a chunk of one byte has five.
	 */
	private static final long MAX_FRAMING_BYTES_PER_BODY_BYTE = 8;

	/** Size of a head up to which its memory is not accounted for. */
	private static final long SMALL_HEAD_BYTES = 16 * 1024;

	/**
	 * Memory for each byte of a head; a short header line becomes several objects.
	 */
	private static final long MEMORY_PER_HEAD_BYTE = 8;

	/** Enough to tell another response from the rest of a body. */
	private static final int FOLLOWING_BYTES = 16;

	private final SocketAddress server;

	private final MemoryBudget.Account headAccount;

	private final Meters meters;

	private final ResponseChecker checker = new ResponseChecker();

	/** Takes what follows a response; what it holds is not used. */
	private final ByteBuffer following = ByteBuffer.allocate(FOLLOWING_BYTES);

	private int bytesInTurn;

	private boolean headRead;

	private long overheadBytes;

	private long bodyBytes;

	ResponseReadConduit(StreamSourceConduit next, SocketAddress server, MemoryBudget.Account headAccount,
			Meters meters) {
		super(next);
		this.server = server;
		this.headAccount = headAccount;
		this.meters = meters;
	}

	/**
	 * Records that the next request is being sent on the connection.
	 * @param method method of the request
	 */
	void onRequest(String method) {
		this.checker.onRequest(method);
		this.headRead = false;
		this.overheadBytes = 0;
		this.bodyBytes = 0;
	}

	/**
	 * Records that the head of the response was read.
	 */
	void onHead() {
		this.headRead = true;
		this.headAccount.release();
	}

	/**
	 * Records that the call has ended and that the connection waits for the next one.
	 */
	void onIdle() {
		onHead();
		this.checker.onIdle();
	}

	/**
	 * Records that the call has ended, with or without a response, and that its
	 * connection is being closed.
	 */
	void onAbandoned() {
		onHead();
		this.checker.onAbandoned();
	}

	/**
	 * Checks that no part of the response is left unread after its end. A body that is
	 * longer than its length would look whole otherwise.
	 * @return whether the next request may be sent on the connection
	 * @throws IOException if something else than another response has arrived
	 */
	boolean checkEnd() throws IOException {
		int count;
		try {
			count = super.read(this.following.clear());
		}
		catch (IOException ex) {
			LOGGER.debug("Connection to {} ended after a whole response", this.server, ex);
			return false;
		}
		checkBytes(this.following, 0);
		return count == 0 && !this.checker.isFollowed();
	}

	/**
	 * Records that a part of the body of the response was read.
	 * @param bytes size of the part
	 */
	void onBody(int bytes) {
		this.overheadBytes -= bytes;
		this.bodyBytes += bytes;
	}

	@Override
	public int read(ByteBuffer buffer) throws IOException {
		if (this.bytesInTurn >= MAX_BYTES_PER_TURN) {
			this.bytesInTurn = 0;
			return 0;
		}
		int startPosition = buffer.position();
		int count = super.read(buffer);
		this.bytesInTurn = (count > 0) ? this.bytesInTurn + count : 0;
		if (count > 0) {
			this.overheadBytes += count;
			checkOverhead();
			checkBytes(buffer, startPosition);
		}
		return count;
	}

	private void checkBytes(ByteBuffer buffer, int startPosition) throws IOException {
		try {
			this.checker.check(buffer, startPosition, buffer.position());
		}
		catch (MalformedResponseException ex) {
			this.meters.counter("anvilusher.responses.malformed", "rule", ex.rule().label()).increment();
			LOGGER.atWarn()
				.addKeyValue("server_address", this.server)
				.addKeyValue("rule", ex.rule().label())
				.addKeyValue("line", this.checker.line())
				.log("Server at {} broke a rule for responses: {}. The line is \"{}\"; the connection is closed",
						this.server, ex.rule().text(), this.checker.line());
			throw ex;
		}
	}

	private void checkOverhead() throws IOException {
		if (this.overheadBytes > MAX_OVERHEAD_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * this.bodyBytes) {
			throw rejected("more than " + MAX_OVERHEAD_BYTES + " bytes of response head or framing");
		}
		if (!this.headRead && this.overheadBytes > SMALL_HEAD_BYTES
				&& !this.headAccount.tryResize(this.overheadBytes * MEMORY_PER_HEAD_BYTE)) {
			throw rejected(
					"a response head of more than " + this.overheadBytes + " bytes, for which no memory is left");
		}
	}

	private IOException rejected(String what) {
		LOGGER.warn("Server at {} sent {}; the connection is closed", this.server, what);
		return new IOException("The server sent " + what);
	}

}
