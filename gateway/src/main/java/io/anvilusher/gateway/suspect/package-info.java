/**
 * Finds out which prompt parts and requests crash the servers that run them, and refuses
 * these.
 */
@NullMarked
package io.anvilusher.gateway.suspect;

import org.jspecify.annotations.NullMarked;
