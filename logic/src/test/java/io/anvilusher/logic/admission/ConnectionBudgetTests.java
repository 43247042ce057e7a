package io.anvilusher.logic.admission;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import io.anvilusher.logic.admission.ConnectionBudget.Limit;
import io.anvilusher.logic.admission.ConnectionBudget.Stage;
import io.anvilusher.logic.admission.ConnectionBudget.Victim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests which connections are closed when there are too many, or when they hold too much.
 */
public class ConnectionBudgetTests {

	private static final long NO_TIMEOUT_MS = Long.MAX_VALUE / 2;

	private static ConnectionBudget<String> budget(int maxConnections) {
		return new ConnectionBudget<>(maxConnections, 1_000);
	}

	private static Optional<Victim<String>> victim(String connection, Stage stage) {
		return Optional.of(new Victim<>(connection, stage, Limit.CONNECTIONS));
	}

	/** Guards against an ordinary client that is turned away for an unfinished head. */
	@Test
	public void incompleteHeadsAreClosedBeforeBodiesAndOldestFirst() {
		ConnectionBudget<String> budget = budget(4);
		List.of("body-1", "body-2", "head-1", "head-2").forEach((name) -> budget.add(name, 0));
		budget.move("body-2", Stage.BODY, 1);
		budget.move("body-1", Stage.BODY, 2);
		assertEquals(budget.add("new-1", ConnectionBudget.MIN_HEAD_MS), victim("head-1", Stage.HEAD));
		budget.move("new-1", Stage.IN_PROGRESS, 3);
		assertEquals(budget.add("new-2", ConnectionBudget.MIN_HEAD_MS), victim("head-2", Stage.HEAD));
		budget.move("new-2", Stage.IN_PROGRESS, 3);
		assertEquals(budget.add("new-3", 3), victim("body-2", Stage.BODY));
		assertEquals(budget.connections(), 4);
	}

	/** Guards against a burst that closes an ordinary client before its head is read. */
	@Test
	public void newConnectionIsNotClosedAtOnce() {
		ConnectionBudget<String> budget = budget(1);
		budget.add("ordinary", 0);
		assertEquals(budget.add("new-1", ConnectionBudget.MIN_HEAD_MS - 1), victim("new-1", Stage.HEAD));
		assertEquals(budget.add("new-2", ConnectionBudget.MIN_HEAD_MS), victim("ordinary", Stage.HEAD));
	}

	/** Guards against a request that is closed while it runs at a server. */
	@Test
	public void requestsInProgressAreNeverClosedForNewConnections() {
		ConnectionBudget<String> budget = budget(2);
		List.of("a", "b").forEach((name) -> {
			budget.add(name, 0);
			budget.move(name, Stage.IN_PROGRESS, 0);
		});
		assertEquals(budget.add("new", NO_TIMEOUT_MS), victim("new", Stage.HEAD));
		assertEquals(budget.connections(), 2);
	}

	/** Guards against clients that hold all connections by reading nothing. */
	@Test
	public void unreadResponsesAreClosedAfterIdleConnectionsAndNotAtOnce() {
		ConnectionBudget<String> budget = budget(2);
		budget.add("unread", 0);
		budget.move("unread", Stage.UNREAD_RESPONSE, 0);
		budget.add("idle", 0);
		budget.move("idle", Stage.IDLE, 0);
		assertEquals(budget.add("new-1", 5), victim("idle", Stage.IDLE));
		budget.move("new-1", Stage.IN_PROGRESS, 5);
		assertEquals(budget.add("new-2", 5), victim("new-2", Stage.HEAD));
		assertEquals(budget.add("new-3", ConnectionBudget.MIN_UNREAD_MS), victim("unread", Stage.UNREAD_RESPONSE));
	}

	/** Guards against heads that are each within the limit of one request. */
	@Test
	public void headsAreClosedOldestFirstUntilTheirMemoryFits() {
		ConnectionBudget<String> budget = budget(10);
		IntStream.range(0, 4).forEach((index) -> {
			budget.add("head-" + index, index);
			assertEquals(budget.resizeHead("head-" + index, 250), List.of());
		});
		budget.move("head-0", Stage.BODY, 9);
		assertEquals(budget.resizeHead("head-3", 600), List.of(new Victim<>("head-1", Stage.HEAD, Limit.HEAD_MEMORY),
				new Victim<>("head-2", Stage.HEAD, Limit.HEAD_MEMORY)));
		assertEquals(budget.heldHeadBytes(), 850);
		assertEquals(budget.resizeHead("head-3", 2_000),
				List.of(new Victim<>("head-0", Stage.BODY, Limit.HEAD_MEMORY)));
		assertEquals(budget.heldHeadBytes(), 2_000);
	}

	/** Guards against a limit that a single request reaches when there is no load. */
	@Test
	public void onlyHeadIsKeptAndALaterOneIsClosedIfNoOtherMayBe() {
		ConnectionBudget<String> budget = budget(10);
		budget.add("only", 0);
		assertEquals(budget.resizeHead("only", 5_000), List.of());
		budget.move("only", Stage.IN_PROGRESS, 1);
		budget.add("later", 2);
		assertEquals(budget.resizeHead("later", 10), List.of(new Victim<>("later", Stage.HEAD, Limit.HEAD_MEMORY)));
		assertEquals(budget.heldHeadBytes(), 5_000);
	}

	/** Guards against bodies and responses that are neither ended nor closed. */
	@Test
	public void stalledBodiesAndResponsesAreSelected() {
		ConnectionBudget<String> budget = budget(10);
		List.of("head", "body", "slow-body", "unread", "idle").forEach((name) -> budget.add(name, 0));
		budget.move("body", Stage.BODY, 10);
		budget.move("slow-body", Stage.BODY, 10);
		budget.move("unread", Stage.UNREAD_RESPONSE, 10);
		budget.move("idle", Stage.IDLE, 10);
		assertEquals(budget.selectStalled(109, 100, (name) -> 0), List.of());
		assertEquals(budget.selectStalled(110, 100, (name) -> name.equals("slow-body") ? 50 : 0),
				List.of(new Victim<>("body", Stage.BODY, Limit.STALLED),
						new Victim<>("unread", Stage.UNREAD_RESPONSE, Limit.STALLED)));
		assertEquals(budget.connections(), 3);
	}

	/** Guards against a request that is closed although its body has just arrived. */
	@Test
	public void restoredConnectionIsNotClosedAgain() {
		ConnectionBudget<String> budget = budget(1);
		budget.add("a", 0);
		assertEquals(budget.add("b", 100), victim("a", Stage.HEAD));
		assertEquals(budget.restore("a", 200), victim("b", Stage.HEAD));
		assertEquals(budget.restore("b", 300), Optional.empty());
		assertEquals(budget.connections(), 2);
	}

	/** Guards against counts that drift while connections come and go. */
	@Test
	public void closedConnectionsAreNoLongerCounted() {
		ConnectionBudget<String> budget = budget(1);
		budget.add("a", 0);
		budget.resizeHead("a", 10);
		budget.remove("a");
		budget.remove("a");
		budget.move("a", Stage.IDLE, 1);
		assertEquals(budget.resizeHead("a", 10), List.of());
		assertTrue(budget.add("b", 1).isEmpty());
		assertEquals(budget.heldHeadBytes(), 0);
	}

}
