package io.anvilusher.logic.key;

/**
 * A key in the hands of its caller. Its text form is not meant for logs.
 *
 * @param keyId public part
 * @param secret secret part
 */
public record PresentedKey(String keyId, String secret) {

	/**
	 * Returns the key as its caller sends it.
	 * @return the key with its secret
	 */
	public String reveal() {
		return "ak_" + this.keyId + "_" + this.secret;
	}

	@Override
	public String toString() {
		return "ak_" + this.keyId + "_***";
	}

}
