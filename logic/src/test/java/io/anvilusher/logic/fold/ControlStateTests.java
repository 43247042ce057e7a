package io.anvilusher.logic.fold;

import java.util.List;
import java.util.Map;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.logic.config.TextPatches;
import io.anvilusher.model.fact.ConfigurationPublished;
import io.anvilusher.model.fact.CrashObserved;
import io.anvilusher.model.fact.IdempotencyClaimed;
import io.anvilusher.model.fact.IdempotencyExpired;
import io.anvilusher.model.fact.IdempotencySettled;
import io.anvilusher.model.fact.KeyGranted;
import io.anvilusher.model.fact.KeyWithdrawn;
import io.anvilusher.model.fact.LeaseClaimed;
import io.anvilusher.model.fact.LeaseReleased;
import io.anvilusher.model.fact.LeaseRenewed;
import io.anvilusher.model.fact.LogRecord;
import io.anvilusher.model.fact.OffsetRecord;
import io.anvilusher.model.fact.OrderAbandoned;
import io.anvilusher.model.fact.OrderIntended;
import io.anvilusher.model.fact.OrderSettled;
import io.anvilusher.model.fact.OrderStarted;
import io.anvilusher.model.fact.ScaleIntended;
import io.anvilusher.model.fact.ScaleSettled;
import io.anvilusher.model.fact.SuspectCleared;
import io.anvilusher.model.fact.UsageReported;
import io.anvilusher.model.fact.UsageSealed;
import io.anvilusher.model.order.EngineTarget;
import io.anvilusher.model.order.OrderOutcome;
import io.anvilusher.model.request.ClaimOutcome;
import io.anvilusher.model.request.ClaimResult;
import io.anvilusher.model.scale.ScaleChange;
import io.anvilusher.model.scale.ScaleKind;
import io.anvilusher.model.usage.UsageLine;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ControlStateTests {

	private static final String LEASE = "region/r";

	private static final EngineTarget V1 = new EngineTarget("mixed", "m", "", "v1");

	private static final EngineTarget V2 = new EngineTarget("mixed", "m", "", "v2");

	private InMemoryLog log;

	@BeforeMethod
	public void emptyLog() {
		this.log = new InMemoryLog();
	}

	private long claim(String holder) {
		long base = this.log.state().leases().find(LEASE).map((lease) -> lease.lastOffset()).orElse(0L);
		assertEquals(this.log.append(new LeaseClaimed(LEASE, holder, base, 1000)), Verdict.ACCEPTED);
		return this.log.offset();
	}

	private ConfigurationPublished publish(String author, long basedOn, String before, String after) {
		return new ConfigurationPublished(author, basedOn, TextPatches.between(before, after),
				TextPatches.digest(after));
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.RACE, step = Step.CONFIG_APPEND)
	public void firstOfTwoOperatorsWins() {
		assertEquals(this.log.append(publish("a", 0, "", "one")), Verdict.ACCEPTED);
		assertEquals(this.log.append(publish("b", 0, "", "two")), Verdict.STALE_BASE);
		assertEquals(this.log.state().configuration().text(), "one");
		assertEquals(this.log.state().configuration().author(), "a");
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.LOST_ANSWER, step = Step.CONFIG_APPEND)
	public void repeatedPublicationTakesEffectOnce() {
		ConfigurationPublished record = publish("a", 0, "", "one");
		this.log.append("same", record);
		long version = this.log.state().configuration().versionOffset();
		assertEquals(this.log.append("same", record), Verdict.STALE_BASE);
		assertEquals(this.log.state().configuration().versionOffset(), version);
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.LATE_MESSAGE, step = Step.CONFIG_APPLY)
	public void olderRecordNeverRevertsTheState() {
		this.log.append(publish("a", 0, "", "one"));
		this.log.append(publish("a", 1, "one", "two"));
		FoldResult<ControlState> late = this.log.state()
			.apply(new OffsetRecord(1, new LogRecord("x", "w", publish("a", 0, "", "one"))));
		assertEquals(late.verdict(), Verdict.ALREADY_APPLIED);
		assertEquals(late.state().configuration().text(), "two");
	}

	@Test
	public void patchThatDoesNotFitHasNoEffect() {
		ConfigurationPublished wrong = new ConfigurationPublished("a", 0, TextPatches.between("x", "y"), "0");
		assertEquals(this.log.append(wrong), Verdict.INVALID);
	}

	@Test
	@Proves(promise = Promise.KEYS_BIND_WORKSPACE, fault = Fault.RACE, step = Step.KEY_CHANGE)
	public void withdrawnKeyCannotBeGrantedAgain() {
		this.log.append(new KeyGranted("k", "w", "h"));
		assertEquals(this.log.append(new KeyWithdrawn("k")), Verdict.ACCEPTED);
		assertEquals(this.log.append(new KeyGranted("k", "other", "h")), Verdict.STALE_BASE);
		assertTrue(this.log.state().keys().find("k").orElseThrow().withdrawn());
	}

	@Test
	@Proves(promise = Promise.KEYS_BIND_WORKSPACE, fault = Fault.LOST_ANSWER, step = Step.KEY_CHANGE)
	public void repeatedWithdrawalChangesNothing() {
		this.log.append(new KeyGranted("k", "w", "h"));
		this.log.append(new KeyWithdrawn("k"));
		assertEquals(this.log.append(new KeyWithdrawn("k")), Verdict.NOT_OPEN);
	}

	@Test
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.RACE, step = Step.LEASE_CLAIM)
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.RACE, step = Step.LEASE_CLAIM)
	public void firstOfTwoClaimsWins() {
		claim("a");
		assertEquals(this.log.append(new LeaseClaimed(LEASE, "b", 0, 1000)), Verdict.STALE_BASE);
		assertEquals(this.log.state().leases().find(LEASE).orElseThrow().holder(), "a");
	}

	@Test
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.LATE_MESSAGE, step = Step.LEASE_CLAIM)
	public void claimThatMissedARenewalHasNoEffect() {
		long term = claim("a");
		this.log.append(new LeaseRenewed(LEASE, term));
		assertEquals(this.log.append(new LeaseClaimed(LEASE, "b", term, 1000)), Verdict.STALE_BASE);
	}

	@Test
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.LATE_MESSAGE, step = Step.LEASE_RENEWAL)
	public void renewalOfAnEndedTermHasNoEffect() {
		long term = claim("a");
		claim("b");
		assertEquals(this.log.append(new LeaseRenewed(LEASE, term)), Verdict.TERM_OVER);
		assertEquals(this.log.append(new LeaseReleased(LEASE, term)), Verdict.TERM_OVER);
	}

	@Test
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.PAUSE, step = Step.ORDER_INTENT)
	public void orderOfAnEndedTermHasNoEffect() {
		long term = claim("a");
		claim("b");
		assertEquals(this.log.append(new OrderIntended("o", LEASE, term, "s", V1, 0)), Verdict.TERM_OVER);
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.RACE, step = Step.ORDER_INTENT)
	public void secondOrderForAServerHasNoEffectWhileOneIsOpen() {
		long term = claim("a");
		this.log.append(new OrderIntended("o1", LEASE, term, "s", V1, 0));
		assertEquals(this.log.append(new OrderIntended("o2", LEASE, term, "s", V2, 0)), Verdict.ORDER_OPEN);
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.LOST_ANSWER, step = Step.ORDER_INTENT)
	public void repeatedIntentDoesNotReopenAnOrderThatEnded() {
		long term = claim("a");
		OrderIntended intent = new OrderIntended("o", LEASE, term, "s", V1, 0);
		this.log.append(intent);
		this.log.append(new OrderStarted("o", "side"));
		this.log.append(new OrderSettled("o", "side", OrderOutcome.DONE));
		assertEquals(this.log.append(intent), Verdict.STALE_BASE);
		assertEquals(this.log.state().orders().of("s").done().orElseThrow(), V1);
	}

	@Test
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.RACE, step = Step.ORDER_START)
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.RACE, step = Step.ORDER_START)
	public void newTermEndsOrdersThatWereNotStarted() {
		long term = claim("a");
		this.log.append(new OrderIntended("o", LEASE, term, "s", V1, 0));
		claim("b");
		assertEquals(this.log.append(new OrderStarted("o", "side")), Verdict.NOT_OPEN);
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.KILL, step = Step.LEASE_CLAIM)
	public void newTermKeepsOrdersThatWereStarted() {
		long term = claim("a");
		this.log.append(new OrderIntended("o", LEASE, term, "s", V1, 0));
		this.log.append(new OrderStarted("o", "side"));
		long next = claim("b");
		assertEquals(this.log.append(new OrderIntended("o2", LEASE, next, "s", V2, this.log.offset())),
				Verdict.ORDER_OPEN);
		assertEquals(this.log.append(new OrderSettled("o", "side", OrderOutcome.DONE)), Verdict.ACCEPTED);
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.KILL, step = Step.ORDER_START)
	public void restartedSidecarTakesAStartedOrderOver() {
		long term = claim("a");
		this.log.append(new OrderIntended("o", LEASE, term, "s", V1, 0));
		this.log.append(new OrderStarted("o", "side-1"));
		assertEquals(this.log.append(new OrderStarted("o", "side-2")), Verdict.ACCEPTED);
		assertEquals(this.log.append(new OrderSettled("o", "side-1", OrderOutcome.DONE)), Verdict.NOT_OPEN);
		assertEquals(this.log.append(new OrderSettled("o", "side-2", OrderOutcome.DONE)), Verdict.ACCEPTED);
	}

	@Test
	public void laterOrdersHaveHigherFencingTokens() {
		long term = claim("a");
		this.log.append(new OrderIntended("o1", LEASE, term, "s", V1, 0));
		long first = this.log.state().orders().findOpen("o1").orElseThrow().fencingToken();
		this.log.append(new OrderStarted("o1", "side"));
		this.log.append(new OrderSettled("o1", "side", OrderOutcome.DONE));
		this.log.append(new OrderIntended("o2", LEASE, term, "s", V2, this.log.offset()));
		assertTrue(this.log.state().orders().findOpen("o2").orElseThrow().fencingToken() > first);
	}

	@Test
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.PAUSE, step = Step.ORDER_EXECUTION)
	public void endedTermCannotAbandonAnOrder() {
		long term = claim("a");
		this.log.append(new OrderIntended("o", LEASE, term, "s", V1, 0));
		this.log.append(new OrderStarted("o", "side"));
		claim("b");
		assertEquals(this.log.append(new OrderAbandoned("o", LEASE, term)), Verdict.TERM_OVER);
	}

	@Test
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.PAUSE, step = Step.SCALE_INTENT)
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.LOST_ANSWER, step = Step.SCALE_INTENT)
	public void scaleIntentNeedsItsTermAndTakesEffectOnce() {
		long term = claim("a");
		ScaleChange change = new ScaleChange(ScaleKind.ORDER, "dc", "guide", "");
		ScaleIntended intent = new ScaleIntended("s1", LEASE, term, change, 0);
		assertEquals(this.log.append(intent), Verdict.ACCEPTED);
		assertEquals(this.log.append(intent), Verdict.ORDER_OPEN);
		assertEquals(this.log.append(new ScaleSettled("s1", LEASE, term, true)), Verdict.ACCEPTED);
		assertEquals(this.log.append(intent), Verdict.STALE_BASE);
		claim("b");
		assertEquals(this.log.append(new ScaleIntended("s2", LEASE, term, change, this.log.offset())),
				Verdict.TERM_OVER);
	}

	@Test
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.RACE, step = Step.USAGE_SEAL)
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.PAUSE, step = Step.USAGE_SEAL)
	public void windowIsSealedOnceAndByTheHolder() {
		long old = claim("a");
		long term = claim("b");
		List<UsageLine> lines = List.of(new UsageLine("w", "s", 1, 2, 3));
		assertEquals(this.log.append(new UsageSealed(1, LEASE, old, lines, Map.of())), Verdict.TERM_OVER);
		assertEquals(this.log.append(new UsageSealed(1, LEASE, term, lines, Map.of("e", 4L))), Verdict.ACCEPTED);
		assertEquals(this.log.append(new UsageSealed(1, LEASE, term, List.of(), Map.of())), Verdict.STALE_BASE);
		assertEquals(this.log.state().usage().flushedThrough("e"), 4);
		assertEquals(this.log.append(new UsageReported(1, LEASE, old)), Verdict.TERM_OVER);
		assertEquals(this.log.append(new UsageReported(1, LEASE, term)), Verdict.ACCEPTED);
		assertTrue(this.log.state().usage().unreported().isEmpty());
	}

	@Test
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.RACE, step = Step.IDEMPOTENCY_CLAIM)
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.LOST_ANSWER, step = Step.IDEMPOTENCY_CLAIM)
	public void firstClaimOfAKeyWins() {
		IdempotencyClaimed first = new IdempotencyClaimed("k", "f", "att-1", "s", "i", 0);
		assertEquals(this.log.append(first), Verdict.ACCEPTED);
		assertEquals(this.log.append(new IdempotencyClaimed("k", "f", "att-2", "s", "i", 0)), Verdict.STALE_BASE);
		assertEquals(this.log.append(first), Verdict.STALE_BASE);
		assertEquals(this.log.state().claims().find("k").orElseThrow().attemptId(), "att-1");
	}

	@Test
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.KILL, step = Step.IDEMPOTENCY_CLAIM)
	public void claimIsReplacedOnlyAfterItWasProvedNotRun() {
		this.log.append(new IdempotencyClaimed("k", "f", "att-1", "s", "i", 0));
		long base = this.log.offset();
		IdempotencyClaimed next = new IdempotencyClaimed("k", "f", "att-2", "s", "i", base);
		assertEquals(this.log.append(next), Verdict.STALE_BASE);
		this.log.append(new IdempotencySettled("k", "att-1", ClaimResult.withoutResponse(ClaimOutcome.NOT_RUN)));
		assertEquals(this.log.append(next), Verdict.ACCEPTED);
	}

	@Test
	public void answeredClaimIsNeverReplaced() {
		this.log.append(new IdempotencyClaimed("k", "f", "att-1", "s", "i", 0));
		long base = this.log.offset();
		this.log.append(
				new IdempotencySettled("k", "att-1", new ClaimResult(ClaimOutcome.ANSWERED, 201, List.of(), "", true)));
		assertEquals(this.log.append(new IdempotencyClaimed("k", "f", "att-2", "s", "i", base)), Verdict.STALE_BASE);
		assertEquals(
				this.log
					.append(new IdempotencySettled("k", "att-1", ClaimResult.withoutResponse(ClaimOutcome.NOT_RUN))),
				Verdict.NOT_OPEN);
	}

	@Test
	public void expiryEndsOldClaimsOnly() {
		long term = claim("a");
		this.log.append(new IdempotencyClaimed("old", "f", "att-1", "s", "i", 0));
		long through = this.log.offset();
		this.log.append(new IdempotencyClaimed("new", "f", "att-2", "s", "i", 0));
		this.log.append(new IdempotencyExpired(LEASE, term, through));
		assertFalse(this.log.state().claims().find("old").isPresent());
		assertTrue(this.log.state().claims().find("new").isPresent());
	}

	@Test
	public void crashesOfARequestAreCountedOnceEach() {
		this.log.append(new CrashObserved("c1", "s1", List.of("f", "g")));
		this.log.append(new CrashObserved("c1", "s1", List.of("f", "g")));
		this.log.append(new CrashObserved("c2", "s2", List.of("f")));
		assertEquals(this.log.state().suspects().crashes("f"), 2);
		assertEquals(this.log.state().suspects().crashes("g"), 1);
		this.log.append(new SuspectCleared("g"));
		assertEquals(this.log.state().suspects().crashes("g"), 0);
	}

}
