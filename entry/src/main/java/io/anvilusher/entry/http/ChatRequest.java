package io.anvilusher.entry.http;

/**
 * The fields of a chat completion request that routing needs.
 *
 * @param model name of the requested model
 * @param stream whether the caller asked for a token stream
 * @param promptPrefix beginning of the prompt, at most 1024 characters
 */
record ChatRequest(String model, boolean stream, String promptPrefix) {

}
