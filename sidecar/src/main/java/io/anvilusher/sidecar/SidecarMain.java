package io.anvilusher.sidecar;

import java.nio.file.Path;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.anvilusher.adapters.process.Command;
import io.anvilusher.adapters.process.CommandLine;
import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.adapters.process.GracefulShutdown;
import io.anvilusher.adapters.process.SettingsFile;
import io.anvilusher.adapters.process.SocketAddresses;

/**
 * Entry point of the {@code anvilusher-sidecar} command.
 */
public final class SidecarMain {

	private SidecarMain() {
	}

	/**
	 * Runs a subcommand and ends the process with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		ExitCode code = new CommandLine("anvilusher-sidecar", System.out, System.err).add("serve", new Serve())
			.add("check", new Check())
			.run(args);
		System.exit(code.code());
	}

	private static Optional<SidecarSettings> read(String file) {
		SettingsFile<SidecarSettings> loaded = SettingsFile.read(Path.of(file), SidecarSettings::read);
		loaded.errors().forEach(System.err::println);
		return loaded.settings();
	}

	@Parameters(commandDescription = "Runs the sidecar of a backend server until SIGTERM")
	private static final class Serve implements Command {

		@Parameter(names = "--settings", required = true, description = "Settings file, JSON with comments")
		private String settings = "";

		@Override
		public ExitCode run() {
			Optional<SidecarSettings> loaded = read(this.settings);
			if (loaded.isEmpty()) {
				return ExitCode.INVALID;
			}
			Optional<ServerLock> lock = ServerLock.acquire(loaded.get().lockAddress());
			if (lock.isEmpty()) {
				System.err.println(
						"Another sidecar of server " + loaded.get().server() + " is running and holds the lock address "
								+ SocketAddresses.format(loaded.get().lockAddress()));
				return ExitCode.CONFLICT;
			}
			Sidecar sidecar = Sidecar.start(loaded.get());
			GracefulShutdown.await(sidecar::drain);
			return ExitCode.OK;
		}

	}

	@Parameters(commandDescription = "Checks a settings file and lists all mistakes")
	private static final class Check implements Command {

		@Parameter(names = "--settings", required = true, description = "Settings file, JSON with comments")
		private String settings = "";

		@Override
		public ExitCode run() {
			return read(this.settings).isPresent() ? ExitCode.OK : ExitCode.INVALID;
		}

	}

}
