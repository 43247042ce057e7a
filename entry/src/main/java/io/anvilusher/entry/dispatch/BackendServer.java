package io.anvilusher.entry.dispatch;

import java.util.Optional;

import io.anvilusher.model.fleet.ServerLoad;
import io.anvilusher.protocol.generated.PeerMessages.Hello;
import io.anvilusher.protocol.generated.PeerMessages.ServerReport;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * A backend server as known to this entry: its newest report and the attempts that this
 * entry has sent to it. Guarded by the lock of its {@link ServerDirectory}.
 */
final class BackendServer {

	private final PeerConnection connection;

	private final Hello hello;

	private Optional<ServerReport> report = Optional.empty();

	private long reportedAtMs;

	private int ownOutstanding;

	private int ownOutstandingAtReport;

	BackendServer(PeerConnection connection) {
		this.connection = connection;
		this.hello = connection.remote();
	}

	PeerConnection connection() {
		return this.connection;
	}

	String name() {
		return this.hello.getServer();
	}

	String service() {
		return this.hello.getService();
	}

	String incarnation() {
		return this.hello.getIncarnation();
	}

	Optional<ServerReport> report() {
		return this.report;
	}

	void onReport(ServerReport newReport, long nowMs) {
		this.report = Optional.of(newReport);
		this.reportedAtMs = nowMs;
		this.ownOutstandingAtReport = this.ownOutstanding;
	}

	void onAttemptSent() {
		this.ownOutstanding++;
	}

	void onAttemptEnded() {
		this.ownOutstanding--;
	}

	int ownOutstanding() {
		return this.ownOutstanding;
	}

	boolean takesWork() {
		return this.report.filter((newest) -> newest.getReachable() && !newest.getDraining()).isPresent();
	}

	/**
	 * Computes the time on the sidecar's clock after which an attempt must not start. The
	 * sidecar's clock is extrapolated from its newest report; because the report was made
	 * before it was received, the limit is never later than {@code windowMs} from now.
	 * @param nowMs the current time on this entry's clock
	 * @param windowMs longest time from now to the start, in milliseconds
	 * @return the limit in milliseconds on the sidecar's clock
	 */
	long startBeforeMs(long nowMs, long windowMs) {
		return this.report.map(ServerReport::getNowMs).orElse(0L) + (nowMs - this.reportedAtMs) + windowMs;
	}

	ServerLoad load(long nowMs) {
		ServerReport newest = this.report.orElseGet(ServerReport::getDefaultInstance);
		return new ServerLoad(name(), service(), this.hello.getDataCentre(), newest.getSlots(), newest.getRunning(),
				nowMs - this.reportedAtMs, this.ownOutstanding, this.ownOutstandingAtReport);
	}

}
