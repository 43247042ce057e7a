package io.anvilusher.gateway.limit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.control.TableFollower;
import io.anvilusher.gateway.peer.LocalPeerChannel;
import io.anvilusher.gateway.peer.ManagedPeerChannel;
import io.anvilusher.gateway.peer.Peer;
import io.anvilusher.gateway.peer.StoreTableStub;
import io.anvilusher.gateway.peer.UdpPeerChannel;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.proofs.TestPorts;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

/**
 * Tests {@link SharedServerLimits} with channels on the loopback interface.
 */
public class SharedServerLimitsTests {

	private static final long TIMEOUT_MS = 60_000;

	private static final RegisteredServer DESK = server(1);

	private final List<Node> nodes = new ArrayList<>();

	private StoreTableStub store;

	private static RegisteredServer server(long startedAtMs) {
		return new RegisteredServer("desk", startedAtMs, "book", "10.0.0.1:80", "a", 4, false, Optional.empty());
	}

	@BeforeMethod
	public void start() {
		this.store = new StoreTableStub();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.nodes.forEach(Node::close);
		this.nodes.clear();
	}

	/** Guards against store calls and messages in deployments whose servers name none. */
	@Test
	public void nothingIsActivatedWithoutALimit() {
		Node node = node(true);
		node.respond(OptionalDouble.empty());
		assertTrue(node.onThread(() -> node.limits.tryTake(node.desk)));
		node.onThread(() -> {
			node.limits.onWanted(node.desk);
			node.limits.countCall(DESK.address());
			return null;
		});
		assertTrue(node.onThread(() -> node.limits.nextPermitInMs(List.of(node.desk))).isEmpty());
		assertEquals(this.store.calls(), 0);
		assertFalse(node.meters.scrape().contains("anvilusher_peer_messages"), node.meters.scrape());
	}

	/** Guards against a gateway without other ones that sends nothing, or all. */
	@Test
	public void gatewayWithoutOthersSendsWhatTheLimitAllows() {
		Node node = node(false);
		node.respond(OptionalDouble.of(20));
		assertFalse(node.onThread(() -> node.limits.tryTake(node.desk)));
		long startNs = System.nanoTime();
		long[] taken = new long[1];
		await(() -> {
			taken[0] += node.tryTake();
			return taken[0] >= 20;
		});
		double elapsedS = (System.nanoTime() - startNs) / 1e9;
		assertTrue(taken[0] <= 1.5 * 20 * elapsedS + 5, taken[0] + " in " + elapsedS + " s");
		assertTrue(node.meters.scrape().contains("anvilusher_server_limit_per_s"), node.meters.scrape());
	}

	@Test
	public void otherGatewaysAreToldTheLimitAndItsEnd() {
		List<Node> all = List.of(node(true), node(true), node(true));
		all.forEach((node) -> node.respond(OptionalDouble.of(5)));
		await(() -> all.stream().allMatch((node) -> node.channel.peers().size() == 3));
		all.get(0).respond(OptionalDouble.empty());
		await(() -> all.stream().noneMatch(Node::isLimited));
		all.get(1).respond(OptionalDouble.of(7));
		await(() -> all.stream().allMatch(Node::isLimited));
	}

	/** Guards against a limit that is kept for a server that has been restarted. */
	@Test
	public void limitEndsWithTheIncarnationOfTheServer() {
		Node node = node(false);
		node.respond(OptionalDouble.of(5));
		assertTrue(node.isLimited());
		node.registered = List.of(server(2));
		await(() -> !node.isLimited());
		node.respond(OptionalDouble.of(5));
		assertFalse(node.isLimited(), "a late response of the former incarnation");
	}

	private Node node(boolean withPeers) {
		Node node = new Node("g" + this.nodes.size(), this.store, withPeers);
		this.nodes.add(node);
		return node;
	}

	private static void await(BooleanSupplier condition) {
		long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > untilNs) {
				fail("Condition was not met within " + TIMEOUT_MS + " ms");
			}
			try {
				TimeUnit.MILLISECONDS.sleep(20);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	/**
	 * The limits of a gateway with their threads.
	 */
	private static final class Node implements AutoCloseable {

		private final XnioWorker worker;

		private final ControlThread control = new ControlThread();

		private final Meters meters = new Meters();

		private final ManagedPeerChannel channel;

		private final SharedServerLimits limits;

		private final TrackedServer desk = new TrackedServer(DESK);

		private volatile List<RegisteredServer> registered = List.of(DESK);

		Node(String name, StoreTableStub store, boolean withPeers) {
			try {
				this.worker = Xnio.getInstance()
					.createWorker(OptionMap.builder()
						.set(Options.WORKER_IO_THREADS, 1)
						.set(Options.THREAD_DAEMON, true)
						.getMap());
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
			TableFollower.ControlContext context = new TableFollower.ControlContext(this.control, MonotonicClock.SYSTEM,
					this.meters);
			// The port claims are UDP sockets at 127.0.0.1.
			this.channel = withPeers
					? new UdpPeerChannel(new Peer(name, new InetSocketAddress("127.0.0.2", TestPorts.next()), "dc", 1),
							store, context, this.worker)
					: new LocalPeerChannel(name, this.worker.getIoThread(), this.meters, MonotonicClock.SYSTEM);
			this.limits = new SharedServerLimits(this.channel, this.worker.getIoThread(), MonotonicClock.SYSTEM,
					new LimitMeters(this.meters), () -> this.registered, new Random());
		}

		void respond(OptionalDouble limitPerS) {
			onThread(() -> {
				this.limits.onResponse(DESK, limitPerS, MonotonicClock.SYSTEM.nowMs() + 1);
				return null;
			});
		}

		boolean isLimited() {
			return onThread(() -> this.limits.isLimited(this.desk));
		}

		long tryTake() {
			return onThread(() -> {
				boolean taken = this.limits.tryTake(this.desk);
				if (!taken) {
					this.limits.onWanted(this.desk);
				}
				return taken ? 1L : 0L;
			});
		}

		<T> T onThread(Supplier<T> task) {
			CompletableFuture<T> done = new CompletableFuture<>();
			this.worker.getIoThread().execute(() -> {
				try {
					done.complete(task.get());
				}
				catch (RuntimeException | Error ex) {
					done.completeExceptionally(ex);
				}
			});
			return done.join();
		}

		@Override
		public void close() {
			this.control.close();
			this.worker.shutdownNow();
		}

	}

}
