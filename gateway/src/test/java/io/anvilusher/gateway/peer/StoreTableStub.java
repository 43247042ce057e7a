package io.anvilusher.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.anvilusher.gateway.control.KeyedRecord;
import io.anvilusher.gateway.control.StoreTable;
import io.anvilusher.gateway.control.TableReadResult;

/**
 * A table of the store in memory. A test can make it unavailable.
 */
public final class StoreTableStub implements StoreTable {

	private final List<KeyedRecord> log = new ArrayList<>();

	private final List<Read> waiting = new ArrayList<>();

	private boolean available = true;

	private int calls;

	private int writes;

	synchronized void setAvailable(boolean value) {
		this.available = value;
		if (!value) {
			complete();
		}
	}

	public synchronized int calls() {
		return this.calls;
	}

	synchronized int writes() {
		return this.writes;
	}

	synchronized Optional<String> value(String key) {
		return Optional.ofNullable(newest().get(key)).map((value) -> new String(value, StandardCharsets.UTF_8));
	}

	synchronized void put(String key, String value) {
		append(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
	}

	synchronized void remove(String key) {
		append(key, Optional.empty());
	}

	private void append(String key, Optional<byte[]> value) {
		this.log.add(new KeyedRecord(key, value));
		complete();
	}

	private Map<String, byte[]> newest() {
		Map<String, byte[]> newest = new LinkedHashMap<>();
		this.log.forEach((entry) -> entry.value()
			.ifPresentOrElse((value) -> newest.put(entry.key(), value), () -> newest.remove(entry.key())));
		return newest;
	}

	@Override
	public synchronized CompletableFuture<TableReadResult> page(Optional<String> afterKey) {
		this.calls++;
		if (!this.available) {
			return CompletableFuture.completedFuture(new TableReadResult.Unavailable("stub"));
		}
		List<KeyedRecord> records = newest().entrySet()
			.stream()
			.map((entry) -> new KeyedRecord(entry.getKey(), Optional.of(entry.getValue())))
			.toList();
		return CompletableFuture.completedFuture(new TableReadResult.Page(records, false, this.log.size()));
	}

	@Override
	public synchronized CompletableFuture<Boolean> write(String key, Optional<byte[]> value) {
		this.calls++;
		if (!this.available) {
			return CompletableFuture.completedFuture(false);
		}
		this.writes++;
		append(key, value);
		return CompletableFuture.completedFuture(true);
	}

	@Override
	public synchronized CompletableFuture<TableReadResult> changes(long fromOffset, long waitMs) {
		this.calls++;
		Read read = new Read((int) fromOffset, new CompletableFuture<>());
		this.waiting.add(read);
		complete();
		return read.result();
	}

	private void complete() {
		List<Read> ready = this.waiting.stream()
			.filter((read) -> !this.available || read.fromOffset() < this.log.size())
			.toList();
		this.waiting.removeAll(ready);
		ready.forEach((read) -> read.result()
			.complete(this.available
					? new TableReadResult.Changes(List.copyOf(this.log.subList(read.fromOffset(), this.log.size())),
							this.log.size(), this.log.size())
					: new TableReadResult.Unavailable("stub")));
	}

	private record Read(int fromOffset, CompletableFuture<TableReadResult> result) {

	}

}
