/**
 * Parses JSON with comments and keeps the position of each value, so that problems can be
 * reported with line and column.
 */
@NullMarked
package io.anvilusher.adapters.json;

import org.jspecify.annotations.NullMarked;
