package io.anvilusher.gateway.allowance;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.gateway.allowance.AllowanceMessage.WorkspaceAmounts;
import io.anvilusher.logic.allowance.AllowanceGrant;
import io.anvilusher.logic.allowance.AllowanceReport;
import io.anvilusher.logic.allowance.GrantedCeiling;
import io.anvilusher.logic.allowance.ReportedUse;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link MessageFormat}, {@link MessageAssembler} and {@link AllowanceMessages}.
 */
public class MessageFormatTests {

	private static final int MAX_BYTES = 942;

	private static List<ReportedUse> uses(int count) {
		return IntStream.range(0, count)
			.mapToObj((index) -> new ReportedUse("workspace-\"ü\"-" + index, index, Long.MAX_VALUE, 1_627_250L * 9))
			.toList();
	}

	private static List<MessagePart> split(AllowanceMessage message) {
		List<byte[]> parts = MessageFormat.encode(message, MAX_BYTES).orElseThrow();
		parts.forEach((part) -> assertTrue(part.length <= MAX_BYTES, part.length + " bytes"));
		return parts.stream().map((part) -> MessageFormat.decode(part).orElseThrow()).collect(Collectors.toList());
	}

	@DataProvider
	public Object[][] sizes() {
		return new Object[][] { { 0 }, { 1 }, { 16 }, { 200 } };
	}

	/** Guards against a workspace that gets lost when a report is split. */
	@Test(dataProvider = "sizes")
	public void reportIsTheSameAfterItWasSplit(int workspaces) {
		AllowanceReport report = new AllowanceReport(Long.MAX_VALUE, 2, Long.MAX_VALUE, 4, 5, uses(workspaces));
		List<MessagePart> parts = split(AllowanceMessages.of(report));
		new Random(7).ints(20, 0, parts.size()).forEach((index) -> parts.add(parts.remove(index)));
		MessageAssembler assembler = new MessageAssembler();
		List<AllowanceReport> whole = parts.stream()
			.flatMap((part) -> assembler.add("g", part).stream())
			.map((message) -> AllowanceMessages.toReport(message).orElseThrow())
			.toList();
		assertEquals(whole, List.of(report));
	}

	/** Guards against a grant whose ceilings go to other workspaces. */
	@Test(dataProvider = "sizes")
	public void grantIsTheSameAfterItWasSplit(int workspaces) {
		AllowanceGrant grant = new AllowanceGrant(1, 2, 3, 4, 29,
				uses(workspaces).stream().map((use) -> new GrantedCeiling(use.workspace(), use.ceiling())).toList());
		MessageAssembler assembler = new MessageAssembler();
		List<AllowanceGrant> whole = split(AllowanceMessages.of(grant)).stream()
			.flatMap((part) -> assembler.add("g", part).stream())
			.map((message) -> AllowanceMessages.toGrant(message).orElseThrow())
			.toList();
		assertEquals(whole, List.of(grant));
	}

	/**
	 * Guards against a part that passes as the whole: workspaces that are not listed
	 * count as unused.
	 */
	@Test
	public void messageWithALostPartIsNotDelivered() {
		MessageAssembler assembler = new MessageAssembler();
		List<MessagePart> first = split(AllowanceMessages.of(new AllowanceReport(1, 1, 0, 0, 0, uses(200))));
		List<MessagePart> second = split(AllowanceMessages.of(new AllowanceReport(1, 2, 0, 0, 0, uses(200))));
		assertTrue(first.stream().skip(1).allMatch((part) -> assembler.add("g", part).isEmpty()));
		assertTrue(assembler.add("g", second.get(0)).isEmpty());
		assertTrue(assembler.add("h", first.get(0)).isEmpty());
		assertTrue(assembler.add("g", first.get(0)).isPresent());
	}

	/** Guards against memory that grows with the messages that stay incomplete. */
	@Test
	public void onlyTheNewestIncompleteMessagesAreKept() {
		MessageAssembler assembler = new MessageAssembler();
		List<List<MessagePart>> messages = IntStream.range(0, 20)
			.mapToObj((sequence) -> split(AllowanceMessages.of(new AllowanceReport(1, sequence, 0, 0, 0, uses(40)))))
			.toList();
		messages.forEach((parts) -> parts.stream().skip(1).forEach((part) -> assembler.add("g", part)));
		assertTrue(assembler.add("g", messages.get(19).get(0)).isPresent());
		assertTrue(assembler.add("g", messages.get(0).get(0)).isEmpty());
		assertTrue(assembler.add("g", messages.get(18).get(0)).isPresent());
		assembler.retain(Set.of());
		assertTrue(assembler.add("g", messages.get(17).get(0)).isEmpty());
	}

	/** Guards against a message that can be sent only in part. */
	@Test
	public void messageThatNeedsTooManyPartsIsNotEncoded() {
		AllowanceMessage many = AllowanceMessages.of(new AllowanceReport(1, 1, 0, 0, 0, uses(10_000)));
		assertEquals(MessageFormat.encode(many, MAX_BYTES), Optional.empty());
		AllowanceMessage longName = new AllowanceMessage(List.of(1L, 1L, 0L, 0L, 0L),
				List.of(new WorkspaceAmounts("w".repeat(1_000), List.of(1L))));
		assertEquals(MessageFormat.encode(longName, MAX_BYTES), Optional.empty());
	}

	@DataProvider
	public Object[][] unreadable() {
		return new Object[][] { { "" }, { "x" }, { "null" }, { "[]" }, { "{}" }, { "{\"h\":[1],\"p\":[0,1]}" },
				{ "{\"h\":[1.5],\"p\":[0,1],\"e\":[]}" }, { "{\"h\":[-1],\"p\":[0,1],\"e\":[]}" },
				{ "{\"h\":[99999999999999999999],\"p\":[0,1],\"e\":[]}" }, { "{\"h\":[1],\"p\":[1,1],\"e\":[]}" },
				{ "{\"h\":[1],\"p\":[0,0],\"e\":[]}" }, { "{\"h\":[1],\"p\":[0,65],\"e\":[]}" },
				{ "{\"h\":[1],\"p\":[0],\"e\":[]}" }, { "{\"h\":[1],\"p\":[0,1],\"e\":[[]]}" },
				{ "{\"h\":[1],\"p\":[0,1],\"e\":[[1,1]]}" }, { "{\"h\":[1],\"p\":[0,1],\"e\":[[\"w\",\"1\"]]}" },
				{ "{\"h\":[1],\"p\":[0,1],\"e\":[[\"w\",null]]}" }, { "{\"h\":[1],\"p\":[0,1],\"e\":[{\"w\":1}]}" } };
	}

	/** Guards against an odd payload that throws or is taken for numbers. */
	@Test(dataProvider = "unreadable")
	public void oddPayloadIsNotReadable(String payload) {
		assertEquals(MessageFormat.decode(payload.getBytes(StandardCharsets.UTF_8)), Optional.empty());
	}

	/** Guards against a message of another form that throws when it is converted. */
	@Test
	public void messageOfAnotherFormIsNotConverted() {
		List<Long> head = List.of(1L, 1L, 0L, 0L, 0L);
		assertTrue(AllowanceMessages.toReport(new AllowanceMessage(List.of(1L), List.of())).isEmpty());
		assertTrue(
				AllowanceMessages.toReport(new AllowanceMessage(head, List.of(new WorkspaceAmounts("w", List.of(1L)))))
					.isEmpty());
		assertTrue(AllowanceMessages.toGrant(new AllowanceMessage(head, List.of(new WorkspaceAmounts("w", List.of()))))
			.isEmpty());
		assertTrue(AllowanceMessages.toGrant(new AllowanceMessage(List.of(1L, 1L, 0L, 0L, Long.MAX_VALUE), List.of()))
			.isEmpty());
	}

}
