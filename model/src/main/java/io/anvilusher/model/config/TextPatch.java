package io.anvilusher.model.config;

import java.util.List;

/**
 * A patch of a text, which replaces one contiguous range of lines.
 *
 * @param startLine number of unchanged lines before the replaced range
 * @param removedLines number of lines that the patch removes
 * @param insertedLines lines that the patch inserts instead of the removed ones
 */
public record TextPatch(int startLine, int removedLines, List<String> insertedLines) {

	public TextPatch {
		if (startLine < 0 || removedLines < 0) {
			throw new IllegalArgumentException(
					"startLine and removedLines must not be negative: " + startLine + ", " + removedLines);
		}
		insertedLines = List.copyOf(insertedLines);
	}

}
