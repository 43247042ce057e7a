package io.anvilusher.entry.command;

import com.beust.jcommander.Parameters;

import io.anvilusher.adapters.process.ExitCode;

/**
 * Lists the public ids of all keys, with workspace and state.
 */
@Parameters(commandDescription = "Lists the ids of all keys, their workspaces and whether they are withdrawn")
public final class KeyListCommand extends PlatformCommand {

	@Override
	ExitCode run(PlatformSession session) {
		session.state()
			.keys()
			.byId()
			.values()
			.forEach((key) -> System.out.printf("%s %-24s %s%n", key.keyId(), key.workspace(),
					key.withdrawn() ? "withdrawn" : "valid"));
		return ExitCode.OK;
	}

}
