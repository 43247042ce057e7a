package io.anvilusher.adapters.json;

/**
 * Computes the Levenshtein distance between two words, which is used to suggest the
 * intended name of a misspelled field.
 */
final class EditDistance {

	private EditDistance() {
	}

	static int between(String left, String right) {
		int[] previousRow = new int[right.length() + 1];
		for (int j = 0; j <= right.length(); j++) {
			previousRow[j] = j;
		}
		for (int i = 1; i <= left.length(); i++) {
			int[] currentRow = new int[right.length() + 1];
			currentRow[0] = i;
			for (int j = 1; j <= right.length(); j++) {
				int substitution = previousRow[j - 1] + ((left.charAt(i - 1) != right.charAt(j - 1)) ? 1 : 0);
				currentRow[j] = Math.min(substitution, Math.min(previousRow[j], currentRow[j - 1]) + 1);
			}
			previousRow = currentRow;
		}
		return previousRow[right.length()];
	}

}
