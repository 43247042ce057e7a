package io.anvilusher.logic.placement;

import java.util.List;
import java.util.Random;

import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * A replay in which two kinds of requests share a service: most have short prompts, some
 * have documents with long questions. Their sizes do not overlap.
 */
final class TwoKindsReplay extends SizeReplay {

	/** Largest prompt of the first kind; all of the second kind are larger. */
	static final int MAX_SHORT_TOKENS = 4_100;

	private static final double DOCUMENTS_SHARE = 0.15;

	private static final int INSTRUCTION_TOKENS = 1_100;

	private final Random kinds;

	TwoKindsReplay(long seed, int gatewayCount) {
		super(seed, gatewayCount);
		this.kinds = new Random(seed);
	}

	@Override
	String kind(PromptShape prompt) {
		return (prompt.promptTokens() <= MAX_SHORT_TOKENS) ? "short" : "document";
	}

	@Override
	PromptShape prompt(double atMs) {
		if (this.kinds.nextDouble() >= DOCUMENTS_SHARE) {
			PromptPart question = new PromptPart("q" + atMs, tokens(500, 0.5, MAX_SHORT_TOKENS - INSTRUCTION_TOKENS));
			PromptPart instruction = new PromptPart("i" + this.kinds.nextInt(4), INSTRUCTION_TOKENS);
			return new PromptShape(INSTRUCTION_TOKENS + question.tokens(), 2, List.of(instruction, question));
		}
		PromptShape document = super.prompt(atMs);
		PromptPart question = new PromptPart("q" + atMs, Math.max(MAX_SHORT_TOKENS, tokens(8_000, 1, 60_000)));
		List<PromptPart> shared = document.parts().subList(0, 2);
		int sharedTokens = shared.stream().mapToInt(PromptPart::tokens).sum();
		return new PromptShape(sharedTokens + question.tokens(), 2, List.of(shared.get(0), shared.get(1), question));
	}

}
