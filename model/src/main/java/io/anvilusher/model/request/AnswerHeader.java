package io.anvilusher.model.request;

/**
 * A header of an answer.
 *
 * @param name its name
 * @param value its value
 */
public record AnswerHeader(String name, String value) {

}
