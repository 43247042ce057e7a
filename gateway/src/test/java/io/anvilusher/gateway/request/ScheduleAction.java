package io.anvilusher.gateway.request;

/**
 * Something that can happen next.
 *
 * @param name what happens
 * @param weight how often it is chosen at random, compared to the others
 * @param step makes it happen
 */
record ScheduleAction(String name, int weight, Runnable step) {

	static final int USUAL = 12;

	static final int UNUSUAL = 3;

	static final int RARE = 1;

}
