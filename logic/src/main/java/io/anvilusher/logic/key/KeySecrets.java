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
 * Makes and checks workspace keys. A key reads {@code ak_ID_SECRET}; only the SHA-256 of
 * the secret is kept, which suffices since the secret is random and long.
 */
public final class KeySecrets {

	private static final Pattern KEY = Pattern.compile("ak_([a-z0-9]{12})_([A-Za-z0-9_-]{43})");

	private static final int ID_BYTES = 6;

	private static final int SECRET_BYTES = 32;

	private KeySecrets() {
	}

	/**
	 * Makes a key.
	 * @param random a source that cannot be predicted
	 * @return the key
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
	 * Reads a key.
	 * @param text the key as its caller sent it
	 * @return the key, or empty if the text is none
	 */
	public static Optional<PresentedKey> parse(String text) {
		Matcher matcher = KEY.matcher(text);
		return matcher.matches() ? Optional.of(new PresentedKey(matcher.group(1), matcher.group(2))) : Optional.empty();
	}

	/**
	 * Hashes the secret part of a key.
	 * @param key the key
	 * @return the hash in hexadecimal
	 */
	public static String hash(PresentedKey key) {
		return TextPatches.digest(key.secret());
	}

	/**
	 * Checks a key against the granted ones.
	 * @param keys the granted keys
	 * @param presented the key
	 * @return the granted key, or empty if it is unknown or withdrawn
	 */
	public static Optional<WorkspaceKey> check(KeyState keys, PresentedKey presented) {
		byte[] presentedHash = hash(presented).getBytes(StandardCharsets.US_ASCII);
		return keys.find(presented.keyId())
			.filter((key) -> MessageDigest.isEqual(presentedHash, key.secretHash().getBytes(StandardCharsets.US_ASCII)))
			.filter((key) -> !key.withdrawn());
	}

}
