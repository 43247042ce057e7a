package io.anvilusher.adapters.json;

/**
 * Levenshtein distance of two words.
 */
final class EditDistance {

	private EditDistance() {
	}

	static int between(String left, String right) {
		int[] previous = new int[right.length() + 1];
		for (int j = 0; j <= right.length(); j++) {
			previous[j] = j;
		}
		for (int i = 1; i <= left.length(); i++) {
			int[] current = new int[right.length() + 1];
			current[0] = i;
			for (int j = 1; j <= right.length(); j++) {
				int substitution = previous[j - 1] + ((left.charAt(i - 1) != right.charAt(j - 1)) ? 1 : 0);
				current[j] = Math.min(substitution, Math.min(previous[j], current[j - 1]) + 1);
			}
			previous = current;
		}
		return previous[right.length()];
	}

}
