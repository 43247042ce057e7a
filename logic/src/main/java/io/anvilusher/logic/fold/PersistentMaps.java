package io.anvilusher.logic.fold;

import java.util.Map;

import org.pcollections.TreePMap;

/**
 * Helpers for sorted persistent maps. A changed map shares structure with the map before
 * it, so earlier states stay valid and can be read from any thread. The order of the keys
 * makes equal states serialize to the same bytes.
 */
final class PersistentMaps {

	private PersistentMaps() {
	}

	static <K extends Comparable<? super K>, V> TreePMap<K, V> of(Map<K, V> map) {
		if (map instanceof TreePMap<K, V> persistent) {
			return persistent;
		}
		return TreePMap.from(map);
	}

	static <K extends Comparable<? super K>, V> Map<K, V> with(Map<K, V> map, K key, V value) {
		return of(map).plus(key, value);
	}

	static <K extends Comparable<? super K>, V> Map<K, V> without(Map<K, V> map, K key) {
		return of(map).minus(key);
	}

}
