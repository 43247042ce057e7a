package io.anvilusher.bench;

import io.anvilusher.adapters.process.CommandLine;
import io.anvilusher.adapters.process.ExitCode;

/**
 * Runs one of the benchmarks.
 */
public final class Bench {

	private Bench() {
	}

	/**
	 * Runs the benchmark that the arguments name.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		ExitCode code = new CommandLine("bench", System.out, System.err).add("path", new PathBench())
			.add("slopes", new SlopeBench())
			.add("control", new ControlBench())
			.run(args);
		System.exit(code.code());
	}

}
