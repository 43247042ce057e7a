package io.anvilusher.model.config;

import java.util.List;

/**
 * One contiguous change of a text, by lines.
 *
 * @param startLine number of unchanged lines before the change
 * @param removedLines number of lines that the change takes out
 * @param insertedLines lines that the change puts in
 */
public record TextPatch(int startLine, int removedLines, List<String> insertedLines) {

	public TextPatch {
		if (startLine < 0 || removedLines < 0) {
			throw new IllegalArgumentException("A patch counts its lines from 0");
		}
		insertedLines = List.copyOf(insertedLines);
	}

}
