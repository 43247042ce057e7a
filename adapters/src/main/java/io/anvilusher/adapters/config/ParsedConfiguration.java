package io.anvilusher.adapters.config;

import java.util.List;

import io.anvilusher.adapters.json.Problem;
import io.anvilusher.model.config.Configuration;

/**
 * Result of parsing a configuration text.
 */
public sealed interface ParsedConfiguration {

	/**
	 * The text is a valid configuration.
	 *
	 * @param configuration the configuration
	 */
	record Valid(Configuration configuration) implements ParsedConfiguration {

	}

	/**
	 * The text has problems.
	 *
	 * @param problems all problems, in the order of their positions
	 */
	record Invalid(List<Problem> problems) implements ParsedConfiguration {

		public Invalid {
			problems = List.copyOf(problems);
		}

	}

}
