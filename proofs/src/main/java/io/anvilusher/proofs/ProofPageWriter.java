package io.anvilusher.proofs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Command that collects the results of all modules and writes the page of proofs.
 */
public final class ProofPageWriter {

	private ProofPageWriter() {
	}

	/**
	 * Writes {@code docs/PROOFS.md}.
	 * @param args the root directory of the project
	 * @throws IOException if results cannot be read or the page cannot be written
	 */
	public static void main(String[] args) throws IOException {
		Path root = Path.of(args[0]);
		List<ProofResult> results = new ArrayList<>();
		try (Stream<Path> modules = Files.list(root)) {
			for (Path module : modules.sorted().toList()) {
				results.addAll(read(module.resolve(ProofListener.RESULTS_FILE)));
			}
		}
		Files.createDirectories(root.resolve("docs"));
		Files.writeString(root.resolve("docs/PROOFS.md"), new ProofPage(results).render());
	}

	private static List<ProofResult> read(Path file) throws IOException {
		if (!Files.exists(file)) {
			return List.of();
		}
		return Arrays.asList(new ObjectMapper().readValue(file.toFile(), ProofResult[].class));
	}

}
