package io.anvilusher.proofs;

import java.lang.annotation.ElementType;
import java.lang.annotation.Repeatable;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a test that checks a promise under a fault at a step, which is one cell of the
 * fault matrix.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.METHOD)
@Repeatable(Proves.List.class)
public @interface Proves {

	/**
	 * Returns the promise that the test checks.
	 * @return the promise
	 */
	Promise promise();

	/**
	 * Returns the fault that the test injects.
	 * @return the fault
	 */
	Fault fault();

	/**
	 * Returns the step at which the fault occurs.
	 * @return the step
	 */
	Step step();

	/**
	 * Contains the annotations of a test that covers several cells.
	 */
	@Retention(RetentionPolicy.RUNTIME)
	@Target(ElementType.METHOD)
	@interface List {

		/**
		 * Returns the annotations.
		 * @return one for each cell
		 */
		Proves[] value();

	}

}
