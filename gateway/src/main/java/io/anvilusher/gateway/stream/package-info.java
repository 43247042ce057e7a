/**
 * Where streams began, and the servers that they may go on at.
 */
@NullMarked
package io.anvilusher.gateway.stream;

import org.jspecify.annotations.NullMarked;
