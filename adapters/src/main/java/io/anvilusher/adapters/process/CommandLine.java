package io.anvilusher.adapters.process;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;

/**
 * Parses the command line of a binary and runs the subcommand that it names.
 */
public final class CommandLine {

	private final String program;

	private final Map<String, Command> commands = new LinkedHashMap<>();

	private final PrintStream out;

	private final PrintStream err;

	/**
	 * Creates a command line without subcommands.
	 * @param program name of the binary
	 * @param out receives help texts that were requested
	 * @param err receives error messages
	 */
	public CommandLine(String program, PrintStream out, PrintStream err) {
		this.program = program;
		this.out = out;
		this.err = err;
	}

	/**
	 * Adds a subcommand.
	 * @param name name of one or two words, such as {@code config publish}
	 * @param command the subcommand
	 * @return this command line
	 */
	public CommandLine add(String name, Command command) {
		this.commands.put(name, command);
		return this;
	}

	/**
	 * Runs the subcommand that the arguments name.
	 * @param args the arguments
	 * @return the exit code
	 */
	public ExitCode run(String... args) {
		Help help = new Help();
		JCommander commander = JCommander.newBuilder().programName(this.program).addObject(help).build();
		// The usage text takes a command's description from its first object.
		this.commands.forEach((name, command) -> commander.addCommand(name, new Object[] { command, new Options() }));
		try {
			commander.parse(joinWords(args));
		}
		catch (ParameterException ex) {
			this.err.println(this.program + ": " + ex.getMessage());
			this.err.println("Try '" + this.program + " --help'.");
			return ExitCode.USAGE;
		}
		return dispatch(commander, help);
	}

	private ExitCode dispatch(JCommander commander, Help help) {
		String name = commander.getParsedCommand();
		if (name == null) {
			usage(commander, help.help ? this.out : this.err);
			return help.help ? ExitCode.OK : ExitCode.USAGE;
		}
		JCommander parsed = commander.getCommands().get(name);
		if (((Options) parsed.getObjects().get(1)).help) {
			usage(parsed, this.out);
			return ExitCode.OK;
		}
		List<String> missing = missingOptions(parsed);
		if (!missing.isEmpty()) {
			this.err.println(this.program + " " + name + ": missing " + String.join(", ", missing));
			this.err.println("Try '" + this.program + " " + name + " --help'.");
			return ExitCode.USAGE;
		}
		return this.commands.get(name).run();
	}

	/**
	 * Joins the name of a subcommand of two words, such as {@code config publish}.
	 * @param args the arguments
	 * @return the arguments, with the name of the subcommand as a single argument
	 */
	private String[] joinWords(String[] args) {
		if (args.length < 2 || !this.commands.containsKey(args[0] + " " + args[1])) {
			return args;
		}
		String[] joined = new String[args.length - 1];
		joined[0] = args[0] + " " + args[1];
		System.arraycopy(args, 2, joined, 1, args.length - 2);
		return joined;
	}

	// JCommander does not report a required option as missing if it has a default value.
	private static List<String> missingOptions(JCommander parsed) {
		return parsed.getParameters()
			.stream()
			.filter((option) -> option.getParameter().required() && !option.isAssigned())
			.map(ParameterDescription::getLongestName)
			.sorted()
			.toList();
	}

	private static void usage(JCommander commander, PrintStream stream) {
		StringBuilder text = new StringBuilder();
		commander.getUsageFormatter().usage(text);
		stream.print(text);
	}

	private static final class Help {

		@Parameter(names = { "--help", "-h" }, help = true, description = "Shows this help")
		private boolean help;

	}

	private static final class Options {

		@Parameter(names = { "--help", "-h" }, help = true, description = "Shows the help of the command")
		private boolean help;

	}

}
