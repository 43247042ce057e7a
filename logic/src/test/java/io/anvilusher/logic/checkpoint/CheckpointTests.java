package io.anvilusher.logic.checkpoint;

import java.util.List;
import java.util.SplittableRandom;

import org.testng.annotations.Test;

import io.anvilusher.model.fact.CheckpointChunk;
import io.anvilusher.model.fact.LogRecord;
import io.anvilusher.model.fact.OffsetRecord;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CheckpointTests {

	private static final byte[] STATE = new byte[200_000];

	static {
		new SplittableRandom(0).nextBytes(STATE);
	}

	private static void add(CheckpointAssembler assembler, CheckpointChunk chunk) {
		assembler.add(new OffsetRecord(1, new LogRecord("r", "w", chunk)));
	}

	@Test
	public void completeCheckpointRestoresTheState() {
		List<CheckpointChunk> chunks = CheckpointSplitter.split("c", "l", 1, 42, STATE);
		CheckpointAssembler assembler = new CheckpointAssembler();
		chunks.forEach((chunk) -> add(assembler, chunk));
		assertTrue(chunks.size() > 1);
		assertEquals(assembler.newestComplete().orElseThrow().bytes(), STATE);
		assertEquals(assembler.newestComplete().orElseThrow().throughOffset(), 42);
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.KILL, step = Step.CHECKPOINT)
	public void checkpointOfAWriterThatDiedHalfWayIsNotUsed() {
		List<CheckpointChunk> chunks = CheckpointSplitter.split("c", "l", 1, 42, STATE);
		CheckpointAssembler assembler = new CheckpointAssembler();
		chunks.subList(0, chunks.size() - 1).forEach((chunk) -> add(assembler, chunk));
		assertFalse(assembler.newestComplete().isPresent());
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.RACE, step = Step.CHECKPOINT)
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.LATE_MESSAGE, step = Step.CHECKPOINT)
	public void partsOfTwoWritersDoNotMixAndTheNewerStateWins() {
		List<CheckpointChunk> first = CheckpointSplitter.split("a", "l", 1, 42, STATE);
		byte[] newer = new byte[150_000];
		new SplittableRandom(1).nextBytes(newer);
		List<CheckpointChunk> second = CheckpointSplitter.split("b", "l", 2, 50, newer);
		CheckpointAssembler assembler = new CheckpointAssembler();
		for (int i = 0; i < first.size(); i++) {
			if (i < second.size()) {
				add(assembler, second.get(i));
			}
			add(assembler, first.get(i));
		}
		assertEquals(assembler.newestComplete().orElseThrow().bytes(), newer);
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.LOST_ANSWER, step = Step.CHECKPOINT)
	public void partAppendedTwiceCountsOnce() {
		List<CheckpointChunk> chunks = CheckpointSplitter.split("c", "l", 1, 42, STATE);
		CheckpointAssembler assembler = new CheckpointAssembler();
		chunks.forEach((chunk) -> {
			add(assembler, chunk);
			add(assembler, chunk);
		});
		assertEquals(assembler.newestComplete().orElseThrow().bytes(), STATE);
	}

}
