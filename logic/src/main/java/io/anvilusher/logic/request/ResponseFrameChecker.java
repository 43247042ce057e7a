package io.anvilusher.logic.request;

/**
 * Checks that the frames of a response, which are its head, the chunks of its body and
 * its end, arrive completely and in order. Confined to one thread.
 */
public final class ResponseFrameChecker {

	private boolean headSeen;

	private int chunkCount;

	private long byteCount;

	/**
	 * Records the head of the response.
	 * @return whether it is the first head; false if a head has arrived before
	 */
	public boolean onHead() {
		boolean first = !this.headSeen;
		this.headSeen = true;
		return first;
	}

	/**
	 * Records a chunk of the body.
	 * @param sequence sequence number of the chunk, starting at 0
	 * @param bytes size of the chunk in bytes
	 * @return whether the chunk is the next one after the head or the chunk before
	 */
	public boolean onChunk(int sequence, int bytes) {
		boolean inOrder = this.headSeen && sequence == this.chunkCount;
		this.chunkCount++;
		this.byteCount += bytes;
		return inOrder;
	}

	/**
	 * Checks at the end of the response that nothing is missing.
	 * @param announcedChunks number of chunks that the sender reports
	 * @param announcedBytes number of body bytes that the sender reports
	 * @return whether the head and all chunks and bytes have arrived
	 */
	public boolean onEnd(int announcedChunks, long announcedBytes) {
		return this.headSeen && announcedChunks == this.chunkCount && announcedBytes == this.byteCount;
	}

}
