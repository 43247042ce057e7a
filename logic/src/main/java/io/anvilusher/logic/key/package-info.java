/**
 * Keys, their hashes and their checks.
 */
@NullMarked
package io.anvilusher.logic.key;

import org.jspecify.annotations.NullMarked;
