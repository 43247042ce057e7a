package io.anvilusher.proofs;

import java.lang.annotation.ElementType;
import java.lang.annotation.Repeatable;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a test as the proof of one cell of the fault matrix.
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
	 * Returns the fault that the test brings about.
	 * @return the fault
	 */
	Fault fault();

	/**
	 * Returns the step at which the fault strikes.
	 * @return the step
	 */
	Step step();

	/**
	 * Holds several proofs by one test.
	 */
	@Retention(RetentionPolicy.RUNTIME)
	@Target(ElementType.METHOD)
	@interface List {

		/**
		 * Returns the proofs.
		 * @return the proofs
		 */
		Proves[] value();

	}

}
