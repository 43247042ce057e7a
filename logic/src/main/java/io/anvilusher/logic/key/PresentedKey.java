package io.anvilusher.logic.key;

/**
 * A workspace key with its secret, as a caller sends it. The secret must not be logged;
 * {@link #toString()} hides it.
 *
 * @param keyId public part of the key
 * @param secret secret part of the key
 */
public record PresentedKey(String keyId, String secret) {

	/**
	 * Returns the key in the form in which a caller sends it.
	 * @return the key including its secret
	 */
	public String reveal() {
		return "ak_" + this.keyId + "_" + this.secret;
	}

	@Override
	public String toString() {
		return "ak_" + this.keyId + "_***";
	}

}
