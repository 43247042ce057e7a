package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.channels.StreamSinkChannel;

/**
 * Writes data on the heap in slices. The JDK copies all that is passed to a socket at
 * once to direct memory, and keeps that memory for the thread.
 */
final class SlicedWrite {

	/** Most bytes that are passed to a socket at once. */
	private static final int MAX_SLICE_BYTES = 64 * 1024;

	private SlicedWrite() {
	}

	/**
	 * Writes one slice of the data.
	 * @param channel channel to write to
	 * @param data the data; its position is moved past what was written
	 * @return number of bytes written; 0 if the channel accepts none now
	 * @throws IOException if the channel is broken
	 */
	static int write(StreamSinkChannel channel, ByteBuffer data) throws IOException {
		int limit = data.limit();
		data.limit(Math.min(limit, data.position() + MAX_SLICE_BYTES));
		try {
			return channel.write(data);
		}
		finally {
			data.limit(limit);
		}
	}

}
