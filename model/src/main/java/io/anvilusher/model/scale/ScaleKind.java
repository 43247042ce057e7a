package io.anvilusher.model.scale;

/**
 * Directions of a change of fleet size.
 */
public enum ScaleKind {

	/** A further backend server is ordered. */
	ORDER,

	/** A backend server is given back. */
	RELEASE

}
