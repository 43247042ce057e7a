package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reports that no data is available after a number of bytes, so that a reader that reads
 * as long as data arrives returns to the event loop.
 */
final class YieldingReadConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	/** Bytes that may be read at once; some buffers of the reader. */
	static final int MAX_BYTES_PER_TURN = 64 * 1024;

	private int bytesInTurn;

	YieldingReadConduit(StreamSourceConduit next) {
		super(next);
	}

	@Override
	public int read(ByteBuffer buffer) throws IOException {
		if (this.bytesInTurn >= MAX_BYTES_PER_TURN) {
			this.bytesInTurn = 0;
			return 0;
		}
		int count = super.read(buffer);
		this.bytesInTurn = (count > 0) ? this.bytesInTurn + count : 0;
		return count;
	}

}
