package io.anvilusher.logic.request;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import org.testng.annotations.DataProvider;
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

	@DataProvider
	public Object[][] streamsThatRepeatAnEvent() {
		return new Object[][] { { "id: 2\ndata: b\n\n" }, { "id: 1\ndata: a\n\n" } };
	}

	@Test(dataProvider = "streamsThatRepeatAnEvent")
	public void stopsBeforeARepeatedEvent(String repeated) {
		EventSplitter eventSplitter = new EventSplitter();
		String start = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
		byte[] events = eventSplitter
			.add(ByteBuffer.wrap((start + repeated + "id: 3\ndata: c\n\n").getBytes(StandardCharsets.UTF_8)));
		assertEquals(new String(events, StandardCharsets.UTF_8), start);
		assertTrue(eventSplitter.isOutOfOrder());
		assertEquals(eventSplitter.events(), 2);
		assertEquals(eventSplitter.add(ByteBuffer.wrap("id: 4\n\n".getBytes(StandardCharsets.UTF_8))).length, 0);
	}

	@DataProvider
	public Object[][] resumedStreams() {
		return new Object[][] { { "id: 3\ndata: c\n\n", true }, { "id: 9\ndata: c\n\n", true },
				{ ": comment\n\nid: 3\ndata: c\n\n", true }, { "id: 3\ndata: c\n\ndata: end\n\n", true },
				{ "id: 2\ndata: b\n\n", false }, { "id: 1\ndata: a\n\n", false }, { "no such run\n\n", false },
				{ "data: error\n\nid: 3\ndata: c\n\n", false } };
	}

	@Test(dataProvider = "resumedStreams")
	public void resumesOnlyAfterTheLastEvent(String resumed, boolean inOrder) {
		EventSplitter eventSplitter = new EventSplitter();
		eventSplitter.add(ByteBuffer.wrap("id: 2\ndata: b\n\nid: 3".getBytes(StandardCharsets.UTF_8)));
		eventSplitter.dropPartialEvent();
		byte[] events = eventSplitter.add(ByteBuffer.wrap(resumed.getBytes(StandardCharsets.UTF_8)));
		assertEquals(eventSplitter.isOutOfOrder(), !inOrder);
		assertEquals(new String(events, StandardCharsets.UTF_8), inOrder ? resumed : "");
	}

	@Test
	public void streamWithoutIdsIsInOrder() {
		EventSplitter eventSplitter = new EventSplitter();
		eventSplitter.add(ByteBuffer.wrap("data: a\n\ndata: b\n\n".getBytes(StandardCharsets.UTF_8)));
		assertFalse(eventSplitter.isOutOfOrder());
		assertEquals(eventSplitter.events(), 2);
	}

	/** Guards against an unfinished event that is read again with each part of it. */
	@Test
	public void unfinishedEventInSmallPartsTakesLittleTime() {
		EventSplitter splitter = new EventSplitter();
		byte[] part = "x".repeat(64).getBytes(StandardCharsets.US_ASCII);
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long startNs = threads.getCurrentThreadCpuTime();
		for (int addedBytes = 0; addedBytes < 1024 * 1024; addedBytes += part.length) {
			assertEquals(splitter.add(ByteBuffer.wrap(part)).length, 0);
		}
		long elapsedMs = (threads.getCurrentThreadCpuTime() - startNs) / 1_000_000;
		assertTrue(elapsedMs < 500, elapsedMs + " ms of processor time");
	}

	@Test
	public void eventsInPartsOfAnySizeAreTheSame() {
		String stream = ": note\n\nid: 1\r\ndata: a\r\n\r\nid: 2\ndata: bb\n\ndata: c\n\nid: 7\ndata: d";
		for (int partBytes = 1; partBytes <= stream.length(); partBytes++) {
			EventSplitter splitter = new EventSplitter();
			StringBuilder events = new StringBuilder();
			for (int start = 0; start < stream.length(); start += partBytes) {
				String part = stream.substring(start, Math.min(stream.length(), start + partBytes));
				events.append(new String(splitter.add(ByteBuffer.wrap(part.getBytes(StandardCharsets.US_ASCII))),
						StandardCharsets.US_ASCII));
			}
			assertEquals(events.toString(), stream.substring(0, stream.indexOf("id: 7")));
			assertEquals(splitter.events(), 4);
			assertEquals(splitter.lastId(), OptionalLong.of(2));
			splitter.dropPartialEvent();
			byte[] next = "id: 3\ndata: e\n\n".getBytes(StandardCharsets.US_ASCII);
			assertEquals(splitter.add(ByteBuffer.wrap(next)), next);
		}
	}

}
