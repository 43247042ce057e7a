package io.anvilusher.logic.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads along with an answer of a model engine: notices the end mark of a token stream
 * and counts the tokens. Used from one thread.
 */
public final class TokenStreamScanner {

	/** Data of the event that ends a stream in the OpenAI-compatible form. */
	private static final String END_MARK = "[DONE]";

	private static final String DATA_FIELD = "data:";

	private static final int MAX_LINE_BYTES = 8192;

	private static final Pattern PROMPT_TOKENS = Pattern.compile("\"prompt_tokens\"\\s*:\\s*(\\d+)");

	private static final Pattern OUTPUT_TOKENS = Pattern.compile("\"completion_tokens\"\\s*:\\s*(\\d+)");

	private final byte[] line = new byte[MAX_LINE_BYTES];

	private int lineLength;

	private boolean ended;

	private long dataEvents;

	private long promptTokens;

	private long reportedOutputTokens = -1;

	/**
	 * Reads a part of the answer.
	 * @param data the part; its position is left as it is
	 */
	public void scan(ByteBuffer data) {
		for (int i = data.position(); i < data.limit(); i++) {
			byte value = data.get(i);
			if (value == '\n') {
				endLine();
			}
			else if (this.lineLength < MAX_LINE_BYTES) {
				this.line[this.lineLength++] = value;
			}
		}
	}

	/**
	 * Reads what follows the last line break.
	 */
	public void finish() {
		if (this.lineLength > 0) {
			endLine();
		}
	}

	private void endLine() {
		String text = new String(this.line, 0, this.lineLength, StandardCharsets.UTF_8).strip();
		this.lineLength = 0;
		if (text.equals(DATA_FIELD + " " + END_MARK) || text.equals(DATA_FIELD + END_MARK)) {
			this.ended = true;
			return;
		}
		if (text.startsWith(DATA_FIELD)) {
			this.dataEvents++;
		}
		if (text.contains("\"usage\"")) {
			readUsage(text);
		}
	}

	private void readUsage(String text) {
		Matcher prompt = PROMPT_TOKENS.matcher(text);
		if (prompt.find()) {
			this.promptTokens = Long.parseLong(prompt.group(1));
		}
		Matcher output = OUTPUT_TOKENS.matcher(text);
		if (output.find()) {
			this.reportedOutputTokens = Long.parseLong(output.group(1));
		}
	}

	/**
	 * Tells whether the end mark of a stream was seen.
	 * @return whether it was
	 */
	public boolean ended() {
		return this.ended;
	}

	/**
	 * Returns the number of prompt tokens that the engine reported.
	 * @return the number; 0 without a report
	 */
	public long promptTokens() {
		return this.promptTokens;
	}

	/**
	 * Returns the number of tokens generated.
	 * @return the engine's count, or the number of events of the stream without one
	 */
	public long outputTokens() {
		return (this.reportedOutputTokens >= 0) ? this.reportedOutputTokens : this.dataEvents;
	}

}
