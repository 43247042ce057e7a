package io.anvilusher.model.request;

/**
 * A part of a prompt.
 *
 * @param id identity of the part's text
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {

}
