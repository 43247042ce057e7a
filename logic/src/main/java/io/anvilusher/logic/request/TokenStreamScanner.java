package io.anvilusher.logic.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Scans the response of a model engine while it is forwarded: detects the event that ends
 * a token stream and counts the tokens. Confined to one thread.
 */
public final class TokenStreamScanner {

	/** Data of the event that ends a stream in OpenAI-compatible APIs. */
	private static final String END_OF_STREAM = "[DONE]";

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
	 * Scans the next part of the response.
	 * @param data the next bytes; the position of the buffer does not change
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
	 * Scans a last line without a line break. Called at the end of the response.
	 */
	public void finish() {
		if (this.lineLength > 0) {
			endLine();
		}
	}

	private void endLine() {
		String text = new String(this.line, 0, this.lineLength, StandardCharsets.UTF_8).strip();
		this.lineLength = 0;
		if (text.equals(DATA_FIELD + " " + END_OF_STREAM) || text.equals(DATA_FIELD + END_OF_STREAM)) {
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
	 * Returns whether the event that ends a token stream has arrived.
	 * @return whether the token stream is complete
	 */
	public boolean ended() {
		return this.ended;
	}

	/**
	 * Returns the number of prompt tokens that the engine reported.
	 * @return the number; 0 if the engine reported none
	 */
	public long promptTokens() {
		return this.promptTokens;
	}

	/**
	 * Returns the number of generated tokens.
	 * @return the number reported by the engine, or else the number of data events before
	 * the end of the stream
	 */
	public long outputTokens() {
		return (this.reportedOutputTokens >= 0) ? this.reportedOutputTokens : this.dataEvents;
	}

}
