package io.anvilusher.adapters.process;

/**
 * A subcommand of a binary. JCommander fills its parameters before it runs.
 */
public interface Command {

	/**
	 * Runs the command.
	 * @return the exit code, or one of a process that has been asked to stop
	 */
	ExitCode run();

}
