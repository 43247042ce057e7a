package io.anvilusher.entry.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.anvilusher.adapters.process.Command;
import io.anvilusher.adapters.process.ExitCode;

/**
 * Checks a configuration file without contacting the platform.
 */
@Parameters(commandDescription = "Checks a configuration file and lists all mistakes")
public final class ConfigCheckCommand implements Command {

	@Parameter(names = "--file", required = true, description = "Configuration file, JSON with comments")
	private String file = "";

	@Override
	public ExitCode run() {
		return ConfigurationFile.read(this.file).isPresent() ? ExitCode.OK : ExitCode.INVALID;
	}

}
