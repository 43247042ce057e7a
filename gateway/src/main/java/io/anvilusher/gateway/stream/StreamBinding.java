package io.anvilusher.gateway.stream;

import io.anvilusher.model.fleet.RegisteredServer;

/**
 * The servers that a stream may go on at. What two software versions write does not fit
 * together, and servers do not check which version began a stream.
 */
public interface StreamBinding {

	/**
	 * Returns whether the stream may go on at a server.
	 * @param server registration of the server
	 * @return whether its events fit to those that the caller has
	 */
	boolean allows(RegisteredServer server);

	/**
	 * Returns the binding of a stream that a server began.
	 * @param server registration of the server that sent the first event
	 * @return a binding to the software version of the server; if that is unknown, to
	 * this incarnation of the server
	 */
	static StreamBinding to(RegisteredServer server) {
		return server.softwareVersion().isEmpty() ? new Incarnation(server)
				: new SoftwareVersion(server.softwareVersion());
	}

	/**
	 * Allows all servers of one software version.
	 *
	 * @param version the version; not empty
	 */
	record SoftwareVersion(String version) implements StreamBinding {

		/**
		 * Rejects an unknown version, which matches no server.
		 */
		public SoftwareVersion {
			if (version.isEmpty()) {
				throw new IllegalArgumentException("'version' must not be empty: an unknown version matches no server");
			}
		}

		@Override
		public boolean allows(RegisteredServer server) {
			return server.softwareVersion().equals(this.version);
		}

	}

	/**
	 * Allows the server that began the stream only, as long as it does not restart.
	 *
	 * @param server registration of that server
	 */
	record Incarnation(RegisteredServer server) implements StreamBinding {

		@Override
		public boolean allows(RegisteredServer other) {
			return this.server.isSameIncarnation(other);
		}

	}

}
