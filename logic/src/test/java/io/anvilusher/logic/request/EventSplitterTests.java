package io.anvilusher.logic.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EventSplitterTests {

	private final EventSplitter splitter = new EventSplitter();

	private String add(String text) {
		return new String(this.splitter.add(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8))),
				StandardCharsets.UTF_8);
	}

	@Test
	public void holdsAnUnfinishedEventBack() {
		EventSplitter fresh = new EventSplitter();
		byte[] first = fresh.add(ByteBuffer.wrap("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8)));
		assertEquals(new String(first, StandardCharsets.UTF_8), "id: 1\ndata: a\n\n");
		assertTrue(fresh.hasPartialEvent());
		assertEquals(fresh.lastId().getAsLong(), 1);
		byte[] second = fresh.add(ByteBuffer.wrap("ta: b\n\n".getBytes(StandardCharsets.UTF_8)));
		assertEquals(new String(second, StandardCharsets.UTF_8), "id: 2\ndata: b\n\n");
		assertFalse(fresh.hasPartialEvent());
		assertEquals(fresh.lastId().getAsLong(), 2);
	}

	@Test
	public void forgetsAnUnfinishedEventBeforeAnotherServerContinues() {
		EventSplitter fresh = new EventSplitter();
		fresh.add(ByteBuffer.wrap("id: 7\ndata: a\n\nid: 8\ndata".getBytes(StandardCharsets.UTF_8)));
		fresh.dropPartialEvent();
		byte[] next = fresh.add(ByteBuffer.wrap("id: 8\ndata: b\n\n".getBytes(StandardCharsets.UTF_8)));
		assertEquals(new String(next, StandardCharsets.UTF_8), "id: 8\ndata: b\n\n");
	}

	@Test
	public void splitsAtEveryByteAlike() {
		String stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
		StringBuilder whole = new StringBuilder();
		stream.chars().forEach((character) -> whole.append(add(Character.toString(character))));
		assertEquals(whole.toString(), stream);
		assertEquals(this.splitter.events(), 2);
	}

}
