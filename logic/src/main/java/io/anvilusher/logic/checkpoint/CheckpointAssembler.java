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
 * Puts checkpoints together from their parts. A checkpoint whose writer stopped half-way
 * never becomes whole. Used from one thread.
 */
public final class CheckpointAssembler {

	private final Map<String, TreeMap<Integer, CheckpointChunk>> partial = new HashMap<>();

	private Optional<Checkpoint> newest = Optional.empty();

	/**
	 * Takes in a record.
	 * @param entry any record; those that are no parts of checkpoints are passed over
	 */
	public void add(OffsetRecord entry) {
		if (!(entry.record().fact() instanceof CheckpointChunk chunk)) {
			return;
		}
		TreeMap<Integer, CheckpointChunk> chunks = this.partial.computeIfAbsent(chunk.checkpointId(),
				(id) -> new TreeMap<>());
		chunks.put(chunk.index(), chunk);
		if (chunks.size() == chunk.count()) {
			this.partial.remove(chunk.checkpointId());
			complete(chunk.throughOffset(), chunks);
		}
	}

	private void complete(long throughOffset, TreeMap<Integer, CheckpointChunk> chunks) {
		if (this.newest.filter((known) -> known.throughOffset() >= throughOffset).isPresent()) {
			return;
		}
		List<byte[]> parts = chunks.values().stream().map((chunk) -> Base64.getDecoder().decode(chunk.data())).toList();
		ByteBuffer bytes = ByteBuffer.allocate(parts.stream().mapToInt((part) -> part.length).sum());
		parts.forEach(bytes::put);
		this.newest = Optional.of(new Checkpoint(throughOffset, bytes.array()));
	}

	/**
	 * Returns the newest whole checkpoint.
	 * @return the checkpoint, or empty if none is whole
	 */
	public Optional<Checkpoint> complete() {
		return this.newest;
	}

}
