package io.anvilusher.entry;

import java.nio.file.Path;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.anvilusher.adapters.process.Command;
import io.anvilusher.adapters.process.CommandLine;
import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.adapters.process.GracefulShutdown;
import io.anvilusher.adapters.process.SettingsFile;
import io.anvilusher.entry.command.ConfigCheckCommand;
import io.anvilusher.entry.command.ConfigDiffCommand;
import io.anvilusher.entry.command.ConfigPublishCommand;
import io.anvilusher.entry.command.ConfigShowCommand;
import io.anvilusher.entry.command.KeyGrantCommand;
import io.anvilusher.entry.command.KeyListCommand;
import io.anvilusher.entry.command.KeyWithdrawCommand;
import io.anvilusher.entry.command.StatusCommand;

/**
 * The main class of the {@code anvilusher} command: serves as an entry or runs an
 * operator command.
 */
public final class EntryMain {

	private EntryMain() {
	}

	/**
	 * Runs a subcommand and ends the process with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(commandLine().run(args).code());
	}

	private static CommandLine commandLine() {
		return new CommandLine("anvilusher", System.out, System.err).add("serve", new Serve())
			.add("settings check", new SettingsCheck())
			.add("config check", new ConfigCheckCommand())
			.add("config publish", new ConfigPublishCommand())
			.add("config show", new ConfigShowCommand())
			.add("config diff", new ConfigDiffCommand())
			.add("key grant", new KeyGrantCommand())
			.add("key withdraw", new KeyWithdrawCommand())
			.add("key list", new KeyListCommand())
			.add("status", new StatusCommand());
	}

	private static Optional<EntrySettings> read(String file) {
		SettingsFile<EntrySettings> read = SettingsFile.read(Path.of(file), EntrySettings::read);
		read.errors().forEach(System.err::println);
		return read.settings();
	}

	@Parameters(commandDescription = "Serves callers until SIGTERM")
	private static final class Serve implements Command {

		@Parameter(names = "--settings", required = true, description = "Settings file, JSON with comments")
		private String settings = "";

		@Override
		public ExitCode run() {
			Optional<EntrySettings> read = read(this.settings);
			if (read.isEmpty()) {
				return ExitCode.INVALID;
			}
			Entry entry = Entry.start(read.get());
			GracefulShutdown.await(entry::drain);
			return ExitCode.OK;
		}

	}

	@Parameters(commandDescription = "Checks a settings file and lists all mistakes")
	private static final class SettingsCheck implements Command {

		@Parameter(names = "--settings", required = true, description = "Settings file, JSON with comments")
		private String settings = "";

		@Override
		public ExitCode run() {
			return read(this.settings).isPresent() ? ExitCode.OK : ExitCode.INVALID;
		}

	}

}
