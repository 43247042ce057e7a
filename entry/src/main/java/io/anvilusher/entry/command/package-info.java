/**
 * The subcommands of the binary.
 */
@NullMarked
package io.anvilusher.entry.command;

import org.jspecify.annotations.NullMarked;
