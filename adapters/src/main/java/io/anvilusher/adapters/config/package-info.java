/**
 * Parses and validates the operator's configuration text.
 */
@NullMarked
package io.anvilusher.adapters.config;

import org.jspecify.annotations.NullMarked;
