package io.anvilusher.logic.retry;

import java.util.Arrays;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.model.request.RefusalReason;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RetryPolicyTests {

	private final RetryPolicy policy = new RetryPolicy();

	@DataProvider
	public Object[][] failures() {
		return Arrays.stream(AttemptFailure.values())
			.map((failure) -> new Object[] { failure })
			.toArray(Object[][]::new);
	}

	private RetryDecision decide(AttemptOutcome outcome, RequestProgress progress) {
		return this.policy.decide(outcome, progress, new RetryBudget(0.2, 20));
	}

	@Test(dataProvider = "failures")
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.KILL, step = Step.ATTEMPT_STARTED)
	public void callThatMayNotBeRepeatedIsNeverSentAgainOnceItMayHaveRun(AttemptFailure failure) {
		RetryDecision decision = decide(new AttemptOutcome.Unknown(failure),
				new RequestProgress(false, true, false, 1, 10_000, false));
		assertTrue(decision instanceof RetryDecision.Refuse);
	}

	@Test(dataProvider = "failures")
	@Proves(promise = Promise.NOT_RUN_IS_TRUE, fault = Fault.KILL, step = Step.ATTEMPT_STARTED)
	public void refusalAfterAnAttemptThatMayHaveRunNeverSaysNotRun(AttemptFailure failure) {
		for (long remainingMs : new long[] { 0, 10_000 }) {
			for (AttemptOutcome outcome : new AttemptOutcome[] { new AttemptOutcome.NotRun(failure),
					new AttemptOutcome.Unknown(failure) }) {
				RetryDecision decision = decide(outcome, new RequestProgress(true, true, false, 9, remainingMs, false));
				if (decision instanceof RetryDecision.Refuse refusal) {
					assertFalse(refusal.reason().notRun(), refusal.reason() + " after " + outcome);
				}
			}
		}
	}

	@Test
	public void repeatableRequestIsRetriedOnAnotherServer() {
		assertTrue(decide(new AttemptOutcome.Unknown(AttemptFailure.SERVER_CRASHED),
				new RequestProgress(true, true, false, 1, 10_000, false)) instanceof RetryDecision.Retry);
	}

	@Test
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.ENGINE_CRASH, step = Step.ANSWER_STREAMING)
	public void answerThatHasBegunIsNotBegunAgain() {
		RetryDecision decision = decide(new AttemptOutcome.Unknown(AttemptFailure.ANSWER_CUT),
				new RequestProgress(true, true, true, 1, 10_000, false));
		assertEquals(decision, new RetryDecision.Refuse(RefusalReason.ANSWER_CUT));
	}

	@Test
	public void budgetStopsARetryStorm() {
		RetryBudget budget = new RetryBudget(0.2, 20);
		long retries = 0;
		for (int request = 0; request < 1000; request++) {
			budget.onRequest();
			RetryDecision decision = this.policy.decide(new AttemptOutcome.Unknown(AttemptFailure.SERVER_CRASHED),
					new RequestProgress(true, true, false, 1, 10_000, false), budget);
			retries += (decision instanceof RetryDecision.Retry) ? 1 : 0;
		}
		assertTrue(retries <= 20 + 200, "retries: " + retries);
	}

}
