package io.anvilusher.adapters.metrics;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;

import com.sun.management.HotSpotDiagnosticMXBean;

/**
 * The memory outside the heap of which the buffers of connections are taken. If none is
 * left, a connection fails, and the process goes on.
 */
public final class DirectMemory {

	private final BufferPoolMXBean pool;

	private final long maxBytes;

	/**
	 * Creates a view of this process' direct memory.
	 */
	public DirectMemory() {
		this.pool = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)
			.stream()
			.filter((candidate) -> candidate.getName().equals("direct"))
			.findFirst()
			.orElseThrow();
		long option = Long.parseLong(ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class)
			.getVMOption("MaxDirectMemorySize")
			.getValue());
		this.maxBytes = (option > 0) ? option : Runtime.getRuntime().maxMemory();
	}

	/**
	 * Returns how much is in use.
	 * @return size of all direct buffers, in bytes
	 */
	public long usedBytes() {
		return this.pool.getTotalCapacity();
	}

	/**
	 * Returns the limit, which is the one of the heap unless the command line sets it.
	 * @return the limit in bytes
	 */
	public long maxBytes() {
		return this.maxBytes;
	}

}
