/**
 * Places the prompts of all gateways on the engines of one placement group: the pending
 * work of each engine, the queue in front of it and the requests that are refused. The
 * code does no I/O and reads no clock; callers pass the time in.
 */
@NullMarked
package io.anvilusher.logic.placement.coordinated;

import org.jspecify.annotations.NullMarked;
