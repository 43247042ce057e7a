package io.anvilusher.gateway.stream;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.control.StoreLog;
import io.anvilusher.gateway.control.TableFollower.ControlContext;

/**
 * Remembers where streams began in the memory of this gateway and in a log of the store,
 * which all gateways share and which outlives them. What the store has not confirmed when
 * the process is killed is lost: at least the streams of the last interval.
 */
public final class SharedStreamOrigins implements StreamOrigins {

	private static final Logger LOGGER = LoggerFactory.getLogger(SharedStreamOrigins.class);

	private final StoreLog log;

	private final OriginThreads threads;

	private final OriginSettings settings;

	private final OriginIndex index;

	private final OriginMeters meters;

	private final OriginWriter writer;

	private final OriginReader reader;

	private OptionalLong era = OptionalLong.empty();

	private int eraChanges;

	/**
	 * Creates the record of streams. Makes no call until a stream begins or is searched
	 * for.
	 * @param log the log that the gateways share
	 * @param context control thread, clock and metrics
	 * @param traffic runs tasks on the traffic thread
	 * @param settings settings
	 */
	public SharedStreamOrigins(StoreLog log, ControlContext context, Executor traffic, OriginSettings settings) {
		this(log, new OriginThreads(traffic, context.thread()::after, context.clock()), context.meters(), settings);
	}

	SharedStreamOrigins(StoreLog log, OriginThreads threads, Meters meters, OriginSettings settings) {
		this.log = log;
		this.threads = threads;
		this.settings = settings;
		this.index = new OriginIndex(settings.maxIndexBytes());
		this.meters = new OriginMeters(meters, this.index);
		this.writer = new OriginWriter(log, threads, settings, this.meters, this::onAppended);
		this.reader = new OriginReader(log, threads, settings, this.index, this.meters, this::countEraChanges);
	}

	@Override
	public void onBegun(String requestId, StreamOrigin origin) {
		BegunStream stream = new BegunStream(requestId, origin, this.threads.clock().nowMs());
		if (!stream.isRecordable()) {
			this.meters.onNotRecorded("too_long", 1);
			return;
		}
		this.index.add(stream, true);
		this.writer.add(stream);
	}

	@Override
	public CompletableFuture<OriginSearch> find(String requestId) {
		Optional<StreamOrigin> known = this.index.find(requestId);
		if (known.isPresent()) {
			this.meters.onFoundLocally();
			return CompletableFuture.completedFuture(new OriginSearch.Found(known.get()));
		}
		if (!BegunStream.isRecordable(requestId)) {
			this.meters.onUnknown();
			return CompletableFuture.completedFuture(new OriginSearch.NotRecorded());
		}
		CompletableFuture<OriginSearch> result = new CompletableFuture<>();
		this.threads.control().after(0, () -> this.reader.find(requestId, result));
		return result;
	}

	private void onAppended() {
		this.index.forget(this.threads.clock().nowMs() - this.settings.longestStreamMs().getAsLong());
		countEraChanges();
	}

	// A store that returned from an older copy has lost the newest records, and gives out
	// their offsets again.
	private int countEraChanges() {
		OptionalLong newest = this.log.storeEra();
		if (newest.isPresent() && !newest.equals(this.era)) {
			if (this.era.isPresent()) {
				LOGGER.warn("The store returned from an older copy (era {} after {}); the streams that began here are "
						+ "written again", newest.getAsLong(), this.era.getAsLong());
				this.eraChanges++;
				this.writer.addAll(this.index.own());
				this.reader.restart();
			}
			this.era = newest;
		}
		return this.eraChanges;
	}

}
