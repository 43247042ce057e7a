/**
 * Collects the usage counts of processes and decides which of them a usage window
 * contains.
 */
@NullMarked
package io.anvilusher.logic.usage;

import org.jspecify.annotations.NullMarked;
