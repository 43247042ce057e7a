package io.anvilusher.entry.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.logic.fold.ConfigurationState;

/**
 * Prints the newest accepted configuration.
 */
@Parameters(commandDescription = "Shows the newest accepted configuration")
public final class ConfigShowCommand extends PlatformCommand {

	@Parameter(names = "--json", description = "Prints version, author and text as JSON")
	private boolean json;

	@Override
	ExitCode run(PlatformSession session) {
		ConfigurationState current = session.state().configuration();
		if (this.json) {
			ObjectNode node = new ObjectMapper().createObjectNode();
			node.put("version", current.versionOffset()).put("author", current.author()).put("text", current.text());
			System.out.println(node);
			return ExitCode.OK;
		}
		if (current.versionOffset() == 0) {
			System.err.println("No configuration has been published");
			return ExitCode.FAILED;
		}
		System.err.println("version " + current.versionOffset() + " by " + current.author());
		System.out.print(current.text());
		return ExitCode.OK;
	}

}
