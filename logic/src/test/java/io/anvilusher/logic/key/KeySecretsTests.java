package io.anvilusher.logic.key;

import java.util.Map;
import java.util.SplittableRandom;

import org.testng.annotations.Test;

import io.anvilusher.logic.fold.KeyState;
import io.anvilusher.model.key.WorkspaceKey;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class KeySecretsTests {

	private final PresentedKey key = KeySecrets.generate(new SplittableRandom(1));

	private KeyState granted(boolean withdrawn) {
		return new KeyState(Map.of(this.key.keyId(),
				new WorkspaceKey(this.key.keyId(), "w", KeySecrets.hash(this.key), withdrawn)));
	}

	@Test
	public void revealedKeyParsesToTheSameKey() {
		assertEquals(KeySecrets.parse(this.key.reveal()).orElseThrow(), this.key);
	}

	@Test
	public void keyWithAnotherSecretIsUnknown() {
		String other = KeySecrets.generate(new SplittableRandom(2)).secret();
		assertFalse(KeySecrets.check(granted(false), new PresentedKey(this.key.keyId(), other)).isPresent());
		assertTrue(KeySecrets.check(granted(false), this.key).isPresent());
	}

	@Test
	public void withdrawnKeyIsUnknown() {
		assertFalse(KeySecrets.check(granted(true), this.key).isPresent());
	}

	@Test
	public void textOfAKeyHidesItsSecret() {
		assertFalse(this.key.toString().contains(this.key.secret()));
	}

}
