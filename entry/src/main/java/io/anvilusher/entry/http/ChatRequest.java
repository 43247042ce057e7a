package io.anvilusher.entry.http;

/**
 * What routing needs to know of a chat completion request.
 *
 * @param model the model
 * @param stream whether the answer is to come as a token stream
 * @param prompt beginning of the prompt
 */
record ChatRequest(String model, boolean stream, String prompt) {

}
