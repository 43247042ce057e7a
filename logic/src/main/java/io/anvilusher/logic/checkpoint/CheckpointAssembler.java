package io.anvilusher.logic.checkpoint;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.anvilusher.model.fact.CheckpointChunk;
import io.anvilusher.model.fact.OffsetRecord;

/**
 * Assembles checkpoints from their chunks. A checkpoint whose writer stopped before its
 * last chunk never becomes complete and is never returned. Not safe for use by several
 * threads.
 */
public final class CheckpointAssembler {

	private final Map<String, TreeMap<Integer, CheckpointChunk>> incomplete = new HashMap<>();

	private Optional<Checkpoint> newest = Optional.empty();

	/**
	 * Adds a record of the log.
	 * @param offsetRecord any record; it is ignored unless it holds a chunk of a
	 * checkpoint
	 */
	public void add(OffsetRecord offsetRecord) {
		if (!(offsetRecord.record().fact() instanceof CheckpointChunk chunk)) {
			return;
		}
		TreeMap<Integer, CheckpointChunk> chunks = this.incomplete.computeIfAbsent(chunk.checkpointId(),
				(id) -> new TreeMap<>());
		chunks.put(chunk.index(), chunk);
		if (chunks.size() == chunk.count()) {
			this.incomplete.remove(chunk.checkpointId());
			assemble(chunk.throughOffset(), chunks);
		}
	}

	private void assemble(long throughOffset, TreeMap<Integer, CheckpointChunk> chunks) {
		if (this.newest.filter((newest) -> newest.throughOffset() >= throughOffset).isPresent()) {
			return;
		}
		List<byte[]> parts = chunks.values().stream().map((chunk) -> Base64.getDecoder().decode(chunk.data())).toList();
		ByteBuffer bytes = ByteBuffer.allocate(parts.stream().mapToInt((part) -> part.length).sum());
		parts.forEach(bytes::put);
		this.newest = Optional.of(new Checkpoint(throughOffset, bytes.array()));
	}

	/**
	 * Returns the complete checkpoint that covers the newest offset.
	 * @return the checkpoint, or empty if none is complete
	 */
	public Optional<Checkpoint> newestComplete() {
		return this.newest;
	}

}
