package io.anvilusher.adapters.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import io.anvilusher.logic.admission.MemoryBudget;

/**
 * Collects a body that arrives in parts. It grows by whole blocks, so that a body of many
 * tiny parts needs little more memory than its size. Confined to one thread.
 */
public final class BodyBuffer {

	private static final byte[] EMPTY = new byte[0];

	/** Size of the blocks after the first one, which is as long as the first part. */
	private static final int BLOCK_BYTES = 16 * 1024;

	private final long maxBytes;

	private final MemoryBudget.Account account;

	private final List<byte[]> blocks = new ArrayList<>(1);

	private int sizeBytes;

	private int allocatedBytes;

	/**
	 * Creates an empty buffer.
	 * @param maxBytes maximum size of the body, in bytes
	 * @param account account of the memory that the body needs
	 */
	public BodyBuffer(long maxBytes, MemoryBudget.Account account) {
		this.maxBytes = maxBytes;
		this.account = account;
	}

	/**
	 * Reserves the memory of a body whose size is known. Nothing must have been added.
	 * @param bytes size of the body, in bytes
	 * @return whether it was reserved; if not, the buffer is still empty
	 */
	public boolean reserve(long bytes) {
		return bytes <= Math.min(this.maxBytes, Integer.MAX_VALUE) && allocate((int) bytes);
	}

	/**
	 * Adds a part, unless the body is then too large.
	 * @param part the part; its content is copied
	 * @return whether the part was added, or why not
	 */
	public Result add(ByteBuffer part) {
		int addedBytes = part.remaining();
		if ((long) this.sizeBytes + addedBytes > this.maxBytes) {
			return Result.TOO_LARGE;
		}
		int missingBytes = this.sizeBytes + addedBytes - this.allocatedBytes;
		if (missingBytes > 0 && !allocate(missingBytes)) {
			return Result.OUT_OF_MEMORY;
		}
		while (part.hasRemaining()) {
			copyToBlock(part);
		}
		return Result.ADDED;
	}

	private boolean allocate(int missingBytes) {
		int blockBytes = this.blocks.isEmpty() ? missingBytes : Math.max(missingBytes, BLOCK_BYTES);
		if (!this.account.tryResize((long) this.allocatedBytes + blockBytes)) {
			return false;
		}
		this.blocks.add(new byte[blockBytes]);
		this.allocatedBytes += blockBytes;
		return true;
	}

	private void copyToBlock(ByteBuffer part) {
		int startBytes = this.allocatedBytes;
		int index = this.blocks.size();
		do {
			index--;
			startBytes -= this.blocks.get(index).length;
		}
		while (startBytes > this.sizeBytes);
		byte[] block = this.blocks.get(index);
		int offset = this.sizeBytes - startBytes;
		int count = Math.min(part.remaining(), block.length - offset);
		part.get(block, offset, count);
		this.sizeBytes += count;
	}

	/**
	 * Returns the number of bytes that were added.
	 * @return size in bytes
	 */
	public int sizeBytes() {
		return this.sizeBytes;
	}

	/**
	 * Returns the body and empties the buffer. The account goes on holding its memory
	 * until {@link #release()}.
	 * @return the body; empty if no part was added
	 */
	public byte[] take() {
		byte[] body = join();
		this.blocks.clear();
		this.sizeBytes = 0;
		this.allocatedBytes = 0;
		return body;
	}

	private byte[] join() {
		if (this.blocks.isEmpty()) {
			return EMPTY;
		}
		if (this.blocks.size() == 1 && this.blocks.get(0).length == this.sizeBytes) {
			return this.blocks.get(0);
		}
		ByteBuffer joined = ByteBuffer.allocate(this.sizeBytes);
		this.blocks.forEach((block) -> joined.put(block, 0, Math.min(block.length, joined.remaining())));
		return joined.array();
	}

	/**
	 * Drops what was added and gives its memory back.
	 */
	public void release() {
		this.blocks.clear();
		this.sizeBytes = 0;
		this.allocatedBytes = 0;
		this.account.release();
	}

	/**
	 * Outcome of adding a part.
	 */
	public enum Result {

		/** The part was added. */
		ADDED,

		/** The body would exceed its maximum size. */
		TOO_LARGE,

		/** The process has no memory left for the body. */
		OUT_OF_MEMORY

	}

}
