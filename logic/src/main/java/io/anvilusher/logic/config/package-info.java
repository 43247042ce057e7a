/**
 * Patches between versions of the configuration text.
 */
@NullMarked
package io.anvilusher.logic.config;

import org.jspecify.annotations.NullMarked;
