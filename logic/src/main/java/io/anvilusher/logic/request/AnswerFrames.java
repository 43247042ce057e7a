package io.anvilusher.logic.request;

/**
 * Checks that the parts of an answer are whole and in order. Used from one thread.
 */
public final class AnswerFrames {

	private boolean headSeen;

	private int chunkCount;

	private long byteCount;

	/**
	 * Notes the head.
	 * @return whether it was the first
	 */
	public boolean onHead() {
		boolean first = !this.headSeen;
		this.headSeen = true;
		return first;
	}

	/**
	 * Notes a part of the body.
	 * @param sequence its number, counted from 0
	 * @param bytes its size
	 * @return whether it is the one that was to follow
	 */
	public boolean onChunk(int sequence, int bytes) {
		boolean inOrder = this.headSeen && sequence == this.chunkCount;
		this.chunkCount++;
		this.byteCount += bytes;
		return inOrder;
	}

	/**
	 * Notes the end.
	 * @param announcedChunks number of parts that were sent
	 * @param announcedBytes number of bytes that were sent
	 * @return whether all of them arrived
	 */
	public boolean onEnd(int announcedChunks, long announcedBytes) {
		return this.headSeen && announcedChunks == this.chunkCount && announcedBytes == this.byteCount;
	}

}
