package io.anvilusher.entry.command;

import java.security.SecureRandom;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.anvilusher.adapters.config.ConfigurationParser;
import io.anvilusher.adapters.config.ParsedConfiguration;
import io.anvilusher.adapters.control.RecordDecision;
import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.logic.key.KeySecrets;
import io.anvilusher.logic.key.PresentedKey;
import io.anvilusher.model.fact.KeyGranted;

/**
 * Grants a new key to a workspace. The log stores only the hash of its secret.
 */
@Parameters(commandDescription = "Grants a new key to a workspace and prints it; it cannot be shown again")
public final class KeyGrantCommand extends PlatformCommand {

	@Parameter(names = "--workspace", required = true, description = "Name of the workspace")
	private String workspace = "";

	@Override
	ExitCode run(PlatformSession session) throws InterruptedException {
		boolean workspaceExists = ConfigurationParser
			.parse(session.state().configuration().text()) instanceof ParsedConfiguration.Valid valid
				&& valid.configuration().workspace(this.workspace).isPresent();
		if (!workspaceExists) {
			System.err.println("The configuration has no workspace \"" + this.workspace + "\"");
			return ExitCode.INVALID;
		}
		PresentedKey key = KeySecrets.generate(new SecureRandom());
		RecordDecision decision = session.append(new KeyGranted(key.keyId(), this.workspace, KeySecrets.hash(key)));
		return report(decision, key.reveal(), "Not granted");
	}

}
