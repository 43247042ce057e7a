package io.anvilusher.logic.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * All sends of one request to servers, with what is known about each. A request may be
 * reported as not run, or sent once more although it must run at most once, only if this
 * ledger excludes that a server has run it. Used by one thread.
 */
public final class SendLedger {

	private final List<Send> sends = new ArrayList<>();

	/**
	 * Adds a send that has not started.
	 * @param server id of the server
	 * @param address address (IP and port) of the server
	 * @param step name of the step that the server performs, for log lines
	 * @return the send
	 */
	public Send add(String server, String address, String step) {
		Send added = new Send(server, address, step);
		this.sends.add(added);
		return added;
	}

	/**
	 * Returns whether any server may have run the request, or may still run it.
	 * @return whether there is a send about which nothing excludes it
	 */
	public boolean mayHaveRun() {
		return this.sends.stream().anyMatch(Send::mayHaveRun);
	}

	/**
	 * Returns the number of sends, including those that never started.
	 * @return the number
	 */
	public int size() {
		return this.sends.size();
	}

	/**
	 * Returns whether the request was sent to an address before. A server may have
	 * started again at its address under another id, and connections are kept by address.
	 * @param address address (IP and port) of a server
	 * @return whether there is a send to it
	 */
	public boolean containsAddress(String address) {
		return this.sends.stream().anyMatch((send) -> send.address.equals(address));
	}

	/**
	 * Describes the sends in order, for log lines.
	 * @return step, server and state of each send; empty if there are none
	 */
	public String describe() {
		return this.sends.stream().map(Send::describe).collect(Collectors.joining(", "));
	}

	/**
	 * One send of the request.
	 */
	public static final class Send {

		private final String server;

		private final String address;

		private final String step;

		private SendState state = SendState.NOT_SENT;

		private Send(String server, String address, String step) {
			this.server = server;
			this.address = address;
			this.step = step;
		}

		/**
		 * Records that the request is about to be written.
		 */
		public void onStarted() {
			if (this.state == SendState.NOT_SENT) {
				this.state = SendState.UNPROVEN;
			}
		}

		/**
		 * Records that the server stated that it neither ran the request nor will run it.
		 */
		public void onRefused() {
			this.state = SendState.REFUSED;
		}

		/**
		 * Records that the engine stated that it prefilled the prompt and nothing more.
		 */
		public void onPrefilled() {
			this.state = SendState.PREFILLED;
		}

		/**
		 * Returns whether the request may have left, even in part.
		 * @return whether the send has started
		 */
		public boolean isStarted() {
			return this.state != SendState.NOT_SENT;
		}

		/**
		 * Returns whether the server may have run the request, or may still run it.
		 * @return whether nothing excludes it
		 */
		public boolean mayHaveRun() {
			return this.state.mayHaveRun();
		}

		private String describe() {
			return this.step + "@" + this.server + "=" + this.state.label();
		}

	}

}
