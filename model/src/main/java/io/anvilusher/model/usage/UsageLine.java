package io.anvilusher.model.usage;

/**
 * Usage of one service by one workspace.
 *
 * @param workspace name of the workspace
 * @param service name of the service
 * @param requests number of requests that ran
 * @param promptTokens number of prompt tokens processed
 * @param outputTokens number of tokens generated
 */
public record UsageLine(String workspace, String service, long requests, long promptTokens, long outputTokens) {

	/**
	 * Adds the counts of another line for the same workspace and service.
	 * @param other the other line
	 * @return a line with the sums of the counts
	 */
	public UsageLine plus(UsageLine other) {
		return new UsageLine(this.workspace, this.service, this.requests + other.requests,
				this.promptTokens + other.promptTokens, this.outputTokens + other.outputTokens);
	}

}
