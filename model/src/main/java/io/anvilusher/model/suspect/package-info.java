/**
 * Requests suspected of crashing backend servers.
 */
@NullMarked
package io.anvilusher.model.suspect;

import org.jspecify.annotations.NullMarked;
