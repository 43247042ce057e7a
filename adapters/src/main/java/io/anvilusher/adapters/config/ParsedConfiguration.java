package io.anvilusher.adapters.config;

import java.util.List;

import io.anvilusher.adapters.json.Problem;
import io.anvilusher.model.config.Configuration;

/**
 * Result of reading a configuration text.
 */
public sealed interface ParsedConfiguration {

	/**
	 * The text is a configuration.
	 *
	 * @param configuration the configuration
	 */
	record Valid(Configuration configuration) implements ParsedConfiguration {

	}

	/**
	 * The text has mistakes.
	 *
	 * @param problems all mistakes, in the order of the text
	 */
	record Invalid(List<Problem> problems) implements ParsedConfiguration {

		public Invalid {
			problems = List.copyOf(problems);
		}

	}

}
