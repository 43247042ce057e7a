package io.anvilusher.model.fleet;

/**
 * What runs on a VM.
 */
public enum VmRole {

	/** An entry process. */
	ENTRY,

	/** A backend server with its sidecar. */
	BACKEND

}
