package io.anvilusher.entry.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.logic.key.KeySecrets;
import io.anvilusher.logic.key.PresentedKey;
import io.anvilusher.model.fact.KeyWithdrawn;

/**
 * Withdraws a key permanently.
 */
@Parameters(commandDescription = "Withdraws a key permanently")
public final class KeyWithdrawCommand extends PlatformCommand {

	@Parameter(names = "--key", required = true, description = "The key, or its id as listed")
	private String key = "";

	@Override
	ExitCode run(PlatformSession session) throws InterruptedException {
		String keyId = KeySecrets.parse(this.key).map(PresentedKey::keyId).orElse(this.key);
		if (session.state().keys().find(keyId).isEmpty()) {
			System.err.println("There is no key with the id \"" + keyId + "\"");
			return ExitCode.INVALID;
		}
		return report(session.append(new KeyWithdrawn(keyId)), "withdrawn " + keyId, "The key is already withdrawn");
	}

}
