package io.anvilusher.model.scale;

/**
 * The direction of a change to the size of a fleet.
 */
public enum ScaleKind {

	/** One more backend server is ordered. */
	ORDER,

	/** One backend server is released. */
	RELEASE

}
