package io.anvilusher.logic.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import io.anvilusher.model.config.TextPatch;

/**
 * Finds and applies changes between versions of a text, so that a version costs the log
 * no more than what it changes.
 */
public final class TextPatches {

	private TextPatches() {
	}

	/**
	 * Finds the change between two texts.
	 * @param before the earlier text
	 * @param after the later text
	 * @return the change from the first line that differs to the last
	 */
	public static TextPatch between(String before, String after) {
		List<String> oldLines = lines(before);
		List<String> newLines = lines(after);
		int shorter = Math.min(oldLines.size(), newLines.size());
		int prefix = 0;
		while (prefix < shorter && oldLines.get(prefix).equals(newLines.get(prefix))) {
			prefix++;
		}
		int suffix = 0;
		while (suffix < shorter - prefix
				&& oldLines.get(oldLines.size() - 1 - suffix).equals(newLines.get(newLines.size() - 1 - suffix))) {
			suffix++;
		}
		return new TextPatch(prefix, oldLines.size() - prefix - suffix,
				newLines.subList(prefix, newLines.size() - suffix));
	}

	/**
	 * Applies a change.
	 * @param before the text that it was made to
	 * @param patch the change
	 * @return the changed text, or empty if the change reaches past the text
	 */
	public static Optional<String> apply(String before, TextPatch patch) {
		List<String> oldLines = lines(before);
		int end = patch.startLine() + patch.removedLines();
		if (end > oldLines.size()) {
			return Optional.empty();
		}
		List<String> newLines = new ArrayList<>(oldLines.subList(0, patch.startLine()));
		newLines.addAll(patch.insertedLines());
		newLines.addAll(oldLines.subList(end, oldLines.size()));
		return Optional.of(String.join("\n", newLines));
	}

	/**
	 * Computes the digest by which the result of a change is checked.
	 * @param text the text
	 * @return the text's SHA-256, in hexadecimal
	 */
	public static String digest(String text) {
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform has SHA-256", ex);
		}
	}

	private static List<String> lines(String text) {
		return text.isEmpty() ? List.of() : List.of(text.split("\n", -1));
	}

}
