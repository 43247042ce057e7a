package io.anvilusher.logic.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.Test;

import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AnswerTests {

	private static void scan(TokenStreamScanner scanner, String text, int pieceLength) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		for (int from = 0; from < bytes.length; from += pieceLength) {
			scanner.scan(ByteBuffer.wrap(bytes, from, Math.min(pieceLength, bytes.length - from)));
		}
		scanner.finish();
	}

	@Test
	public void endOfStreamIsDetectedHoweverTheStreamIsSplit() {
		for (int pieceLength = 1; pieceLength < 40; pieceLength++) {
			TokenStreamScanner scanner = new TokenStreamScanner();
			scan(scanner, "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n", pieceLength);
			assertTrue(scanner.ended());
			assertEquals(scanner.outputTokens(), 2);
		}
	}

	@Test
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.ENGINE_CRASH, step = Step.ANSWER_END)
	public void textThatOnlyMentionsTheEndMarkIsNotTheEnd() {
		TokenStreamScanner scanner = new TokenStreamScanner();
		scan(scanner, "data: {\"content\":\"data: [DONE]\"}\n\n", 5);
		assertFalse(scanner.ended());
	}

	@Test
	public void tokenCountsOfTheEngineTakePrecedence() {
		TokenStreamScanner scanner = new TokenStreamScanner();
		scan(scanner, "data: {\"x\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":7}}\n\n", 9);
		assertEquals(scanner.promptTokens(), 12);
		assertEquals(scanner.outputTokens(), 7);
	}

	@Test
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.LATE_MESSAGE, step = Step.ANSWER_STREAMING)
	public void partOutOfOrderIsNoticed() {
		ResponseFrameChecker frames = new ResponseFrameChecker();
		assertTrue(frames.onHead());
		assertTrue(frames.onChunk(0, 10));
		assertFalse(frames.onChunk(2, 10));
	}

	@Test
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.LATE_MESSAGE, step = Step.ANSWER_END)
	public void endWithMissingPartsIsNoticed() {
		ResponseFrameChecker frames = new ResponseFrameChecker();
		frames.onHead();
		frames.onChunk(0, 10);
		assertFalse(frames.onEnd(2, 20));
		assertFalse(frames.onEnd(1, 11));
		assertTrue(frames.onEnd(1, 10));
	}

	@Test
	public void secondHeadIsDetected() {
		ResponseFrameChecker frames = new ResponseFrameChecker();
		assertTrue(frames.onHead());
		assertFalse(frames.onHead());
	}

}
