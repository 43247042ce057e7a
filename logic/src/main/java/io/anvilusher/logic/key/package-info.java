/**
 * Generates, parses, hashes and checks workspace keys.
 */
@NullMarked
package io.anvilusher.logic.key;

import org.jspecify.annotations.NullMarked;
