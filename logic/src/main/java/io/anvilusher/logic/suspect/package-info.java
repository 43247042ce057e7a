/**
 * Decides which prompt parts and requests crash the servers that run them, from the
 * crashes that all gateways observed.
 */
@NullMarked
package io.anvilusher.logic.suspect;

import org.jspecify.annotations.NullMarked;
