/**
 * The software versions at which streams began, shared by all gateways through a log of
 * the store, so that a stream that is taken up goes on at the version that began it.
 */
@NullMarked
package io.anvilusher.gateway.stream;

import org.jspecify.annotations.NullMarked;
