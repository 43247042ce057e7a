package io.anvilusher.adapters.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.logic.admission.MemoryBudget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link BodyBuffer}.
 */
public class BodyBufferTests {

	private static final int BODY_BYTES = 100_000;

	private final MemoryBudget budget = new MemoryBudget(1024 * 1024);

	@DataProvider
	public Object[][] partSizes() {
		return new Object[][] { { 1 }, { 7 }, { 16 * 1024 }, { 16 * 1024 + 1 }, { BODY_BYTES } };
	}

	/** Guards against bodies in tiny parts that need many times their size. */
	@Test(dataProvider = "partSizes")
	public void bodyInPartsIsReturnedWhole(int partBytes) {
		byte[] body = new byte[BODY_BYTES];
		for (int index = 0; index < body.length; index++) {
			body[index] = (byte) (index * 31);
		}
		BodyBuffer buffer = new BodyBuffer(BODY_BYTES, this.budget.open());
		for (int start = 0; start < body.length; start += partBytes) {
			ByteBuffer part = ByteBuffer.wrap(body, start, Math.min(partBytes, body.length - start));
			assertEquals(buffer.add(part), BodyBuffer.Result.ADDED);
		}
		assertEquals(buffer.sizeBytes(), BODY_BYTES);
		assertTrue(this.budget.heldBytes() < BODY_BYTES + 2 * 16 * 1024, this.budget.heldBytes() + " bytes held");
		assertEquals(buffer.add(text("x")), BodyBuffer.Result.TOO_LARGE);
		assertEquals(buffer.take(), body);
		buffer.release();
		assertEquals(this.budget.heldBytes(), 0);
	}

	@Test
	public void bodyBeyondTheBudgetIsRefused() {
		BodyBuffer buffer = new BodyBuffer(BODY_BYTES, new MemoryBudget(5).open());
		assertEquals(buffer.add(text("abc")), BodyBuffer.Result.ADDED);
		assertEquals(buffer.add(text("def")), BodyBuffer.Result.OUT_OF_MEMORY);
		assertEquals(new String(buffer.take(), StandardCharsets.US_ASCII), "abc");
	}

	@Test
	public void bodyWithoutPartsIsEmpty() {
		assertEquals(new BodyBuffer(1, this.budget.open()).take().length, 0);
	}

	private static ByteBuffer text(String text) {
		return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
	}

}
