/**
 * The values in requests and responses, independent of a deployment's header names and
 * formats, which an adapter implements.
 */
@NullMarked
package io.anvilusher.gateway.wire;

import org.jspecify.annotations.NullMarked;
