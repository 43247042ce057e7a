/**
 * Connections between the system's own processes: one TCP connection carries frames of
 * {@code peer.proto}, each with its length before it.
 */
@NullMarked
package io.anvilusher.protocol.transport;

import org.jspecify.annotations.NullMarked;
