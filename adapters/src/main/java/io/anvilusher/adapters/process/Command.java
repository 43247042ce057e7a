package io.anvilusher.adapters.process;

/**
 * A subcommand of a binary. JCommander sets its parameters before it runs.
 */
public interface Command {

	/**
	 * Runs the command.
	 * @return the exit code, which is not used after a graceful shutdown: the process
	 * then exits with code 0
	 */
	ExitCode run();

}
