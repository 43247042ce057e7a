package io.anvilusher.entry.http;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Notices when a caller closes its connection. There is one for each connection, since
 * Undertow keeps close listeners for the connection's whole life.
 */
final class CallerWatch {

	private static final AttachmentKey<CallerWatch> KEY = AttachmentKey.create(CallerWatch.class);

	private static final Runnable NOTHING = () -> {
	};

	private volatile Runnable action = NOTHING;

	private CallerWatch() {
	}

	static CallerWatch of(ServerConnection connection) {
		CallerWatch known = connection.getAttachment(KEY);
		if (known != null) {
			return known;
		}
		CallerWatch created = new CallerWatch();
		connection.putAttachment(KEY, created);
		connection.addCloseListener((closed) -> created.action.run());
		return created;
	}

	/**
	 * Sets what to do for the request that is under way on the connection.
	 * @param next the action
	 */
	void set(Runnable next) {
		this.action = next;
	}

	/**
	 * Ends the watch for the request that was under way.
	 */
	void clear() {
		this.action = NOTHING;
	}

}
