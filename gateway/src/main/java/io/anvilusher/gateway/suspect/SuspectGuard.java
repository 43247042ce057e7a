package io.anvilusher.gateway.suspect;

import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.xnio.XnioExecutor;

import io.anvilusher.gateway.control.EngineControlClient;
import io.anvilusher.gateway.control.StoreTable;
import io.anvilusher.gateway.control.TableFollower;
import io.anvilusher.logic.suspect.SuspectVerdict;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Keeps prompt parts and requests that crash servers away from them. All methods run on
 * the traffic thread.
 */
public final class SuspectGuard {

	private final CrashDetector detector;

	private final TableFollower.ControlContext context;

	private final AnsweredSubjects answeredSubjects = new AnsweredSubjects();

	private final SuspectFollower follower;

	/**
	 * Creates a guard.
	 * @param process name of this process
	 * @param client asks servers whether they accept connections
	 * @param thread the traffic thread
	 * @param table table of the store through which gateways share crashes
	 * @param context control thread, clock and metrics
	 * @param timeOfDayMs estimate of the time of day, in ms since 1970
	 * @param random spreads the writes of the gateways
	 */
	public SuspectGuard(String process, EngineControlClient client, XnioExecutor thread, StoreTable table,
			TableFollower.ControlContext context, LongSupplier timeOfDayMs, RandomGenerator random) {
		this.context = context;
		this.follower = new SuspectFollower(process, table, context, timeOfDayMs, random, this.answeredSubjects);
		this.detector = new CrashDetector(client, thread, context.clock(), context.meters(), this::onCrash);
	}

	/**
	 * Starts to share crashes with the other gateways.
	 */
	public void start() {
		this.follower.start();
	}

	private void onCrash(RegisteredServer server, Map<String, Integer> depths) {
		this.context.thread().run(() -> this.follower.onCrash(crashId(server), server.service(), depths));
	}

	// The same for all gateways, and different for each incarnation of a server.
	private static String crashId(RegisteredServer server) {
		return server.id() + "@" + server.startedAtMs();
	}

	/**
	 * Records that the connection of a request to a server was lost before the end of the
	 * response.
	 * @param server the server
	 * @param subjects subjects of the request
	 */
	public void onConnectionLost(RegisteredServer server, RequestSubjects subjects) {
		this.detector.onConnectionLost(server, subjects);
	}

	/**
	 * Records that a request ended without a whole response while its server was silent.
	 * @param server the server
	 * @param subjects subjects of the request
	 * @param gone whether this incarnation of the server is no longer registered
	 */
	public void onSilent(RegisteredServer server, RequestSubjects subjects, boolean gone) {
		this.detector.onSilent(server, subjects, gone);
	}

	/**
	 * Records the whole response of a server. It proves nothing if the server is known to
	 * have crashed: what it still sends on a connection that outlived the crash does not
	 * show that servers survive the request.
	 * @param server the server
	 * @param subjects subjects of the request
	 */
	public void onAnswered(RegisteredServer server, RequestSubjects subjects) {
		if (this.follower.isKnownCrash(crashId(server))) {
			return;
		}
		this.answeredSubjects.add(subjects, this.context.clock().nowMs());
		SuspectVerdict verdict = this.follower.verdict();
		Stream.of(verdict.suspects(), verdict.convicted())
			.flatMap((named) -> subjects.in(named).stream())
			.forEach((subject) -> this.context.thread().run(() -> this.follower.onAnswered(subject)));
	}

	/**
	 * Returns whether a request must not be sent to a server.
	 * @param subjects supplies the subjects of the request
	 * @return whether it, or a part of its prompt, is convicted of crashing servers
	 */
	public boolean isRefused(Supplier<RequestSubjects> subjects) {
		Set<String> convicted = this.follower.verdict().convicted();
		return !convicted.isEmpty() && !subjects.get().in(convicted).isEmpty();
	}

}
