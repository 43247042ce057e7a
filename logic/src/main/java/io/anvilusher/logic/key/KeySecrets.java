package io.anvilusher.logic.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.anvilusher.logic.config.TextPatches;
import io.anvilusher.logic.fold.KeyState;
import io.anvilusher.model.key.WorkspaceKey;

/**
 * Generates and checks workspace keys. A key has the form {@code ak_ID_SECRET}. Only the
 * SHA-256 of the secret is stored. A plain hash is safe here because the secret is 32
 * random bytes and cannot be guessed.
 */
public final class KeySecrets {

	private static final Pattern KEY_PATTERN = Pattern.compile("ak_([a-z0-9]{12})_([A-Za-z0-9_-]{43})");

	private static final int ID_BYTES = 6;

	private static final int SECRET_BYTES = 32;

	private KeySecrets() {
	}

	/**
	 * Generates a key.
	 * @param random a cryptographically secure random generator
	 * @return the new key with its secret
	 */
	public static PresentedKey generate(RandomGenerator random) {
		byte[] id = new byte[ID_BYTES];
		byte[] secret = new byte[SECRET_BYTES];
		random.nextBytes(id);
		random.nextBytes(secret);
		return new PresentedKey(HexFormat.of().formatHex(id),
				Base64.getUrlEncoder().withoutPadding().encodeToString(secret));
	}

	/**
	 * Parses a key.
	 * @param text the key as the caller sent it
	 * @return the key, or empty if the text does not have the form of a key
	 */
	public static Optional<PresentedKey> parse(String text) {
		Matcher matcher = KEY_PATTERN.matcher(text);
		return matcher.matches() ? Optional.of(new PresentedKey(matcher.group(1), matcher.group(2))) : Optional.empty();
	}

	/**
	 * Hashes the secret part of a key.
	 * @param key the key
	 * @return the SHA-256 in hexadecimal
	 */
	public static String hash(PresentedKey key) {
		return TextPatches.digest(key.secret());
	}

	/**
	 * Checks a key from a caller against the granted keys.
	 * @param keys the granted keys
	 * @param presented the key that the caller sent
	 * @return the granted key, or empty if the key is unknown or withdrawn or its secret
	 * is wrong
	 */
	public static Optional<WorkspaceKey> check(KeyState keys, PresentedKey presented) {
		byte[] presentedHash = hash(presented).getBytes(StandardCharsets.US_ASCII);
		return keys.find(presented.keyId())
			.filter((key) -> MessageDigest.isEqual(presentedHash, key.secretHash().getBytes(StandardCharsets.US_ASCII)))
			.filter((key) -> !key.withdrawn());
	}

}
