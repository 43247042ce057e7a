package io.anvilusher.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import io.anvilusher.adapters.config.ConfigurationParser;
import io.anvilusher.adapters.process.Command;
import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.deployment.Deployment;
import io.anvilusher.deployment.JavaProcess;
import io.anvilusher.logic.config.TextPatches;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.model.fact.ConfigurationPublished;
import io.anvilusher.model.fact.Fact;
import io.anvilusher.model.fact.IdempotencyClaimed;
import io.anvilusher.model.fact.KeyGranted;
import io.anvilusher.model.fact.LogRecord;
import io.anvilusher.model.fact.OffsetRecord;
import io.anvilusher.protocol.codec.RecordCodec;

/**
 * Measures how state, messages, processor time and memory grow with the numbers of
 * workspaces, idempotency claims and sidecars, at four sizes each.
 * {@code docs/CAPACITY.md} gives the results.
 */
@Parameters(commandDescription = "How state, messages, processor time and memory grow, at four sizes each")
final class SlopeBench implements Command {

	private static final List<Integer> WORKSPACES = List.of(1000, 2000, 4000, 7800);

	private static final List<Integer> CLAIMS = List.of(5000, 10_000, 20_000, 40_000);

	private static final List<Integer> SIDECARS = List.of(16, 32, 64, 128);

	@Parameter(names = "--seconds", description = "Length of each measurement of an entry")
	private int seconds = 10;

	@Parameter(names = "--warm-seconds", description = "Time for an entry's code to be compiled before it is measured")
	private int warmSeconds = 30;

	@Override
	public ExitCode run() {
		measureStateGrowth();
		measureClaimGrowth();
		try {
			measureEntryGrowth();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return ExitCode.OK;
	}

	private static void measureStateGrowth() {
		System.out.printf("%-12s %12s %12s %14s %14s %16s %14s%n", "workspaces", "text KB", "heap KB", "fold us/key",
				"parse ms", "checkpoint KB", "one edit, B");
		WORKSPACES.forEach((count) -> {
			measureState(count);
			measureState(count);
		});
	}

	private static void measureState(int workspaces) {
		long heapBefore = usedHeapAfterGc();
		String text = configuration(workspaces, 1);
		ControlState state = applyFact(ControlState.EMPTY, publication(ControlState.EMPTY, text));
		long startedNanos = System.nanoTime();
		for (int i = 0; i < workspaces; i++) {
			state = applyFact(state, new KeyGranted("key-%08d".formatted(i), "w" + i, TextPatches.digest("s" + i)));
		}
		double foldUs = (System.nanoTime() - startedNanos) / 1000.0 / workspaces;
		long heapKb = (usedHeapAfterGc() - heapBefore) / 1024;
		long parseStartedNanos = System.nanoTime();
		ConfigurationParser.parse(text);
		double parseMs = (System.nanoTime() - parseStartedNanos) / 1e6;
		int checkpointKb = RecordCodec.encodeState(state).length / 1024;
		int editBytes = RecordCodec
			.encode(new LogRecord("id", "operator", publication(state, configuration(workspaces, 2)))).length;
		System.out.printf("%-12d %12d %12d %14.2f %14.1f %16d %14d%n", workspaces, text.length() / 1024, heapKb, foldUs,
				parseMs, checkpointKb, editBytes);
	}

	private static ControlState applyFact(ControlState state, Fact fact) {
		return state.apply(new OffsetRecord(state.appliedOffset() + 1, new LogRecord("r", "w", fact))).state();
	}

	private static ConfigurationPublished publication(ControlState state, String text) {
		return new ConfigurationPublished("operator", state.configuration().versionOffset(),
				TextPatches.between(state.configuration().text(), text), TextPatches.digest(text));
	}

	private static String configuration(int workspaces, int weight) {
		return IntStream.range(0, workspaces)
			.mapToObj((i) -> "\t\t{ \"name\": \"w" + i + "\", \"services\": [\"model\"], \"weight\": "
					+ ((i == workspaces / 2) ? weight : 1) + " },")
			.collect(Collectors.joining("\n",
					"{\n\t\"deployment\": \"d\",\n\t\"services\": [{ \"name\": \"model\", \"models\": [\"m\"] }],\n\t\"workspaces\": [\n",
					"\n\t]\n}\n"));
	}

	private static void measureClaimGrowth() {
		System.out.printf("%n%-12s %14s %14s %18s%n", "claims", "heap B/claim", "fold us/claim", "record B/claim");
		CLAIMS.forEach((count) -> {
			long heapBefore = usedHeapAfterGc();
			ControlState state = ControlState.EMPTY;
			long startedNanos = System.nanoTime();
			for (int i = 0; i < count; i++) {
				state = applyFact(state, claim(i));
			}
			double foldUs = (System.nanoTime() - startedNanos) / 1000.0 / count;
			long bytes = (usedHeapAfterGc() - heapBefore) / Math.max(1, state.claims().byKey().size());
			System.out.printf("%-12d %14d %14.2f %18d%n", count, bytes, foldUs, RecordCodec
				.encode(new LogRecord("0123456789abcdef0123456789abcdef0123", "entry-000", claim(0))).length);
		});
	}

	private static IdempotencyClaimed claim(int i) {
		return new IdempotencyClaimed(TextPatches.digest("c" + i), TextPatches.digest("f" + i),
				"0123456789abcdef0123456789abcdef" + i, "server-0001",
				"sidecar-0001-0123456789abcdef0123456789abcdef0123", 0);
	}

	private static long usedHeapAfterGc() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private void measureEntryGrowth() throws IOException {
		System.out.printf("%n%-12s %14s %16s %18s %14s%n", "sidecars", "entry CPU %", "frames in /s", "B in+out /s",
				"resident MB");
		for (int count : SIDECARS) {
			measureEntry(count);
		}
	}

	private void measureEntry(int sidecars) throws IOException {
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
		List<FakeSidecar> fakeSidecars = new ArrayList<>();
		try (Deployment deployment = Deployment.start()) {
			JavaProcess entry = deployment.startEntry("entry-a", "dc");
			BenchConfiguration.publish(deployment);
			for (int i = 0; i < sidecars; i++) {
				FakeSidecar fake = FakeSidecar.start(group, new InetSocketAddress("127.0.0.1", 0), "model-" + i);
				fakeSidecars.add(fake);
				deployment.register("model-" + i, "dc", fake.port(), "backend", "model", entry);
			}
			deployment.awaitServers("entry-a", sidecars);
			sleepSeconds(this.warmSeconds);
			long frames = fakeSidecars.stream().mapToLong(FakeSidecar::frames).sum();
			long bytes = fakeSidecars.stream().mapToLong(FakeSidecar::bytes).sum();
			ProcessUsage before = ProcessUsage.of(entry.pid());
			sleepSeconds(this.seconds);
			ProcessUsage after = ProcessUsage.of(entry.pid());
			System.out.printf("%-12d %14.2f %16.1f %18.0f %14d%n", sidecars,
					(after.cpuMs() - before.cpuMs()) / 10.0 / this.seconds,
					(fakeSidecars.stream().mapToLong(FakeSidecar::frames).sum() - frames) / (double) this.seconds,
					(fakeSidecars.stream().mapToLong(FakeSidecar::bytes).sum() - bytes) / (double) this.seconds,
					after.residentMb());
		}
		finally {
			fakeSidecars.forEach(FakeSidecar::close);
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

	private static void sleepSeconds(int count) {
		try {
			TimeUnit.SECONDS.sleep(count);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Counts the frames and bytes of a fake sidecar over all of its connections.
	 */
	static final class Counter {

		private final AtomicLong frames = new AtomicLong();

		private final AtomicLong bytes = new AtomicLong();

		void add(int frameBytes) {
			this.frames.incrementAndGet();
			this.bytes.addAndGet(frameBytes);
		}

		long frames() {
			return this.frames.get();
		}

		long bytes() {
			return this.bytes.get();
		}

	}

}
