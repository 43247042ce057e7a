/**
 * The subcommands with which operators manage configuration and keys and read the status.
 */
@NullMarked
package io.anvilusher.entry.command;

import org.jspecify.annotations.NullMarked;
