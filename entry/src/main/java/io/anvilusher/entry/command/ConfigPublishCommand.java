package io.anvilusher.entry.command;

import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.anvilusher.adapters.control.RecordDecision;
import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.logic.config.TextPatches;
import io.anvilusher.logic.fold.ConfigurationState;
import io.anvilusher.model.fact.ConfigurationPublished;

/**
 * Publishes a file as the next version of the configuration, unless another version was
 * published since the one that the file is based on.
 */
@Parameters(commandDescription = "Publishes a configuration file as the next version")
public final class ConfigPublishCommand extends PlatformCommand {

	@Parameter(names = "--file", required = true, description = "Configuration file, JSON with comments")
	private String file = "";

	@Parameter(names = "--author", required = true, description = "Name of the publisher, shown to other operators")
	private String author = "";

	@Parameter(names = "--based-on", description = "Version that the file was edited from; the newest one by default")
	private Long basedOn = -1L;

	@Override
	ExitCode run(PlatformSession session) throws InterruptedException {
		Optional<String> text = ConfigurationFile.read(this.file);
		if (text.isEmpty()) {
			return ExitCode.INVALID;
		}
		ConfigurationState current = session.state().configuration();
		if (this.basedOn >= 0 && this.basedOn != current.versionOffset()) {
			System.err.println(conflictMessage(current));
			return ExitCode.CONFLICT;
		}
		RecordDecision decision = session.append(new ConfigurationPublished(this.author, current.versionOffset(),
				TextPatches.between(current.text(), text.get()), TextPatches.digest(text.get())));
		ConfigurationState after = session.state().configuration();
		return report(decision, "version " + after.versionOffset(), conflictMessage(after));
	}

	private static String conflictMessage(ConfigurationState winner) {
		return "Not published: version " + winner.versionOffset() + " by " + winner.author() + " was published first";
	}

}
