package io.anvilusher.proofs;

/**
 * What one test run said about one cell of the fault matrix.
 *
 * @param promise the promise
 * @param fault the fault
 * @param step the step
 * @param test the test, as class and method
 * @param passed whether the test passed
 */
public record ProofResult(Promise promise, Fault fault, Step step, String test, boolean passed) {

}
