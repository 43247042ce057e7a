package io.anvilusher.gateway.request;

import java.util.Arrays;

/**
 * Size classes of prompts in the metrics. Each but the last has an upper bound of four
 * times that of the class before it.
 */
enum PromptSizeClass {

	/** Prompts that are placed as short ones. */
	BELOW_1K(1_024, "0-1023"),

	/** Prompts of 1,024 to 4,095 tokens. */
	BELOW_4K(4_096, "1024-4095"),

	/** Prompts of 4,096 to 16,383 tokens. */
	BELOW_16K(16_384, "4096-16383"),

	/** Prompts of 16,384 to 65,535 tokens. */
	BELOW_64K(65_536, "16384-65535"),

	/** All larger prompts. */
	FROM_64K(Integer.MAX_VALUE, "65536-");

	private final int endTokens;

	private final String label;

	PromptSizeClass(int endTokens, String label) {
		this.endTokens = endTokens;
		this.label = label;
	}

	/**
	 * Returns the class of a prompt.
	 * @param promptTokens number of tokens of the prompt
	 * @return its class
	 */
	static PromptSizeClass of(int promptTokens) {
		return Arrays.stream(values())
			.filter((sizeClass) -> promptTokens < sizeClass.endTokens)
			.findFirst()
			.orElse(FROM_64K);
	}

	/**
	 * Returns the name in the metrics.
	 * @return first and last number of tokens of the class
	 */
	String label() {
		return this.label;
	}

}
