package io.anvilusher.model.usage;

/**
 * Work done for one workspace on one service.
 *
 * @param workspace the workspace
 * @param service the service
 * @param requests number of requests that ran
 * @param promptTokens number of prompt tokens read
 * @param outputTokens number of tokens generated
 */
public record UsageLine(String workspace, String service, long requests, long promptTokens, long outputTokens) {

	/**
	 * Adds the counts of another line for the same workspace and service.
	 * @param other the other line
	 * @return the sum
	 */
	public UsageLine plus(UsageLine other) {
		return new UsageLine(this.workspace, this.service, this.requests + other.requests,
				this.promptTokens + other.promptTokens, this.outputTokens + other.outputTokens);
	}

}
