package io.anvilusher.gateway.allowance;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
import io.anvilusher.logic.allowance.AllowanceDecision;
import io.anvilusher.logic.allowance.AllowanceTerms;
import io.anvilusher.model.routing.AllowanceUnit;
import io.anvilusher.model.routing.WorkspaceLimit;
import io.anvilusher.proofs.TestPorts;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

/**
 * Tests {@link SharedAllowances} with channels on the loopback interface. The window is
 * longer than the tests, so that no use leaves it, however slow the machine is.
 */
public class SharedAllowancesTests {

	private static final AllowanceTerms TERMS = new AllowanceTerms(800_000, 0, 0);

	private static final long LIMIT = 800;

	private static final Map<String, WorkspaceLimit> LIMITS = Map.of("w",
			new WorkspaceLimit(0.5, 400, AllowanceUnit.REQUESTS, 0));

	private static final long TIMEOUT_MS = 60_000;

	private final List<Node> nodes = new ArrayList<>();

	private StoreTableStub store;

	@BeforeMethod
	public void start() {
		this.store = new StoreTableStub();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.nodes.forEach(Node::close);
		this.nodes.clear();
	}

	/** Guards against store calls and sockets in deployments without limits. */
	@Test
	public void nothingIsActivatedWithoutALimit() {
		Node node = node(true);
		node.allowances.onLimits(Map.of());
		node.onThread(() -> null);
		assertTrue(node.allowances.isReady());
		assertEquals(this.store.calls(), 0);
		assertEquals(node.admit(3), 3);
	}

	/** Guards against a gateway without peerAddress that refuses all requests. */
	@Test
	public void gatewayWithoutOthersAdmitsUpToTheLimit() {
		Node node = node(false);
		node.allowances.onLimits(LIMITS);
		await(node.allowances::isReady);
		long[] admitted = new long[1];
		await(() -> {
			admitted[0] += node.admit(100);
			return admitted[0] >= 0.95 * LIMIT;
		});
		for (int round = 0; round < 50; round++) {
			admitted[0] += node.admit(100);
		}
		assertTrue(admitted[0] <= LIMIT, admitted[0] + " were admitted");
		assertTrue(node.meters.scrape().contains("anvilusher_allowance_requests_total"), node.meters.scrape());
	}

	/**
	 * Guards against gateways that each admit the whole limit, and against a gateway that
	 * gets no more than its own share while the others are idle.
	 */
	@Test
	public void limitIsSharedAndFollowsTheTraffic() {
		List<Node> all = List.of(node(true), node(true), node(true));
		all.forEach((node) -> node.allowances.onLimits(LIMITS));
		await(() -> all.stream().allMatch((node) -> node.allowances.isReady()));
		await(() -> all.stream().allMatch((node) -> node.channel.peers().size() == 3));
		long[] admitted = new long[1];
		await(() -> {
			admitted[0] += all.get(0).admit(10);
			return admitted[0] >= 2 * LIMIT / 3;
		});
		await(() -> {
			all.forEach((node) -> admitted[0] += node.admit(10));
			return admitted[0] >= 0.95 * LIMIT;
		});
		for (int round = 0; round < 50; round++) {
			all.forEach((node) -> admitted[0] += node.admit(10));
		}
		assertTrue(admitted[0] <= LIMIT, admitted[0] + " were admitted");
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
	 * The allowances of a gateway with their threads.
	 */
	private static final class Node implements AutoCloseable {

		private final XnioWorker worker;

		private final ControlThread control = new ControlThread();

		private final Meters meters = new Meters();

		private final ManagedPeerChannel channel;

		private final SharedAllowances allowances;

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
			this.allowances = new SharedAllowances(TERMS, this.channel, this.worker.getIoThread(),
					MonotonicClock.SYSTEM, this.meters, new Random());
		}

		/** Makes requests of cost 1 and returns how many were admitted. */
		long admit(int requests) {
			return onThread(() -> {
				long admitted = 0;
				for (int count = 0; count < requests; count++) {
					if (this.allowances.admit("w", 1) instanceof AllowanceDecision.Admitted decision) {
						this.allowances.markSent(decision.charge());
						admitted++;
					}
				}
				return admitted;
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
