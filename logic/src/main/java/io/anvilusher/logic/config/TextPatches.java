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
 * Computes and applies patches between versions of a text, so that a new version takes
 * only as much space in the log as its changed lines.
 */
public final class TextPatches {

	private TextPatches() {
	}

	/**
	 * Computes the patch between two texts.
	 * @param before the earlier text
	 * @param after the later text
	 * @return the patch, which replaces everything from the first to the last line that
	 * differs
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
	 * Applies a patch.
	 * @param before the text that the patch was made for
	 * @param patch the patch
	 * @return the patched text, or empty if the patch reaches past the end of the text
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
	 * Computes the digest that is used to check the result of a patch.
	 * @param text the text
	 * @return the SHA-256 of the text in UTF-8, in hexadecimal
	 */
	public static String digest(String text) {
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the Java platform does not provide SHA-256", ex);
		}
	}

	private static List<String> lines(String text) {
		return text.isEmpty() ? List.of() : List.of(text.split("\n", -1));
	}

}
