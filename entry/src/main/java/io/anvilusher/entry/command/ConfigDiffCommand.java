package io.anvilusher.entry.command;

import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.logic.config.TextPatches;
import io.anvilusher.logic.fold.ConfigurationState;
import io.anvilusher.model.config.TextPatch;

/**
 * Prints the difference between the configuration in force and a file.
 */
@Parameters(commandDescription = "Shows what publishing a file would change")
public final class ConfigDiffCommand extends PlatformCommand {

	@Parameter(names = "--file", required = true, description = "Configuration file, JSON with comments")
	private String file = "";

	@Override
	ExitCode run(PlatformSession session) {
		Optional<String> text = ConfigurationFile.read(this.file);
		if (text.isEmpty()) {
			return ExitCode.INVALID;
		}
		ConfigurationState current = session.state().configuration();
		TextPatch patch = TextPatches.between(current.text(), text.get());
		if (patch.removedLines() == 0 && patch.insertedLines().isEmpty()) {
			System.out.println("no change to version " + current.versionOffset());
			return ExitCode.OK;
		}
		List<String> oldLines = current.text().lines().toList();
		System.out.println("--- version " + current.versionOffset());
		System.out.println("+++ " + this.file);
		System.out.println("@@ -" + (patch.startLine() + 1) + "," + patch.removedLines() + " +"
				+ (patch.startLine() + 1) + "," + patch.insertedLines().size() + " @@");
		oldLines.subList(patch.startLine(), Math.min(oldLines.size(), patch.startLine() + patch.removedLines()))
			.forEach((line) -> System.out.println("-" + line));
		patch.insertedLines().forEach((line) -> System.out.println("+" + line));
		return ExitCode.OK;
	}

}
