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
	public void buffersAnIncompleteEvent() {
		EventSplitter eventSplitter = new EventSplitter();
		byte[] first = eventSplitter
			.add(ByteBuffer.wrap("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8)));
		assertEquals(new String(first, StandardCharsets.UTF_8), "id: 1\ndata: a\n\n");
		assertTrue(eventSplitter.hasPartialEvent());
		assertEquals(eventSplitter.lastId().getAsLong(), 1);
		byte[] second = eventSplitter.add(ByteBuffer.wrap("ta: b\n\n".getBytes(StandardCharsets.UTF_8)));
		assertEquals(new String(second, StandardCharsets.UTF_8), "id: 2\ndata: b\n\n");
		assertFalse(eventSplitter.hasPartialEvent());
		assertEquals(eventSplitter.lastId().getAsLong(), 2);
	}

	@Test
	public void discardsAnIncompleteEventBeforeAnotherServerResumes() {
		EventSplitter eventSplitter = new EventSplitter();
		eventSplitter.add(ByteBuffer.wrap("id: 7\ndata: a\n\nid: 8\ndata".getBytes(StandardCharsets.UTF_8)));
		eventSplitter.dropPartialEvent();
		byte[] next = eventSplitter.add(ByteBuffer.wrap("id: 8\ndata: b\n\n".getBytes(StandardCharsets.UTF_8)));
		assertEquals(new String(next, StandardCharsets.UTF_8), "id: 8\ndata: b\n\n");
	}

	@Test
	public void splitsEventsThatArriveByteByByte() {
		String stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
		StringBuilder output = new StringBuilder();
		stream.chars().forEach((character) -> output.append(add(Character.toString(character))));
		assertEquals(output.toString(), stream);
		assertEquals(this.splitter.events(), 2);
	}

}
