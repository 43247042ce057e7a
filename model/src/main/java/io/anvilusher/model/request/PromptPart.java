package io.anvilusher.model.request;

/**
 * A part of a prompt, which other prompts may share.
 *
 * @param id id of the text of the part; equal for equal texts
 * @param tokens length of the part in tokens
 */
public record PromptPart(String id, int tokens) {

}
