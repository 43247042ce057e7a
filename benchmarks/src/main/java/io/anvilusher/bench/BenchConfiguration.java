package io.anvilusher.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.anvilusher.deployment.Deployment;

/**
 * The configuration that the benchmarks publish: one model service with many slots and
 * one plain service.
 */
final class BenchConfiguration {

	private BenchConfiguration() {
	}

	/**
	 * Publishes the configuration and grants a key.
	 * @param deployment the deployment to publish to
	 * @return the key
	 */
	static String publish(Deployment deployment) {
		try {
			Path file = deployment.directory().resolve("bench.json");
			Files.writeString(file, text(1));
			deployment.publish(file);
			return deployment.grantKey("bench");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the configuration in its text form.
	 * @param weight weight of the workspace; another weight makes another version
	 * @return the text
	 */
	static String text(int weight) {
		return """
				{
					"deployment": "bench",
					"data_centres": [{ "name": "dc", "region": "r" }],
					"services": [
						{ "name": "model", "models": ["m"], "max_concurrent_per_server": 4096,
						  "targets": { "first_token_ms": 1000, "deadline_ms": 60000 } },
						{ "name": "plain", "kind": "plain", "max_concurrent_per_server": 4096,
						  "routes": [{ "method": "GET", "path": "/availability", "repeatable": true },
						             { "method": "POST", "path": "/bookings" }] },
					],
					"workspaces": [
						{ "name": "bench", "services": ["model", "plain"], "max_concurrent": 100000, "weight": %d },
					],
				}
				""".formatted(weight);
	}

}
