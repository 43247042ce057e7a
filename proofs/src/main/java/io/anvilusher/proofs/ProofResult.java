package io.anvilusher.proofs;

/**
 * Result of one test for one cell of the fault matrix, which is a fault at a step of a
 * promise.
 *
 * @param promise the promise that the test checks
 * @param fault the fault that the test injects
 * @param step the step at which the fault occurs
 * @param test the test, as {@code Class#method}
 * @param passed whether the test passed
 */
public record ProofResult(Promise promise, Fault fault, Step step, String test, boolean passed) {

}
