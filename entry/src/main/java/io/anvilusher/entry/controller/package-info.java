/**
 * The controllers of a region. They run in the one entry that holds the region's lease.
 */
@NullMarked
package io.anvilusher.entry.controller;

import org.jspecify.annotations.NullMarked;
