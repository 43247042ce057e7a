/**
 * Connections between the processes of this system. A TCP connection carries
 * length-prefixed frames, which are defined in {@code peer.proto}.
 */
@NullMarked
package io.anvilusher.protocol.transport;

import org.jspecify.annotations.NullMarked;
