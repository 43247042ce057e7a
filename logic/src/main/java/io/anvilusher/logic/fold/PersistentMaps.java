package io.anvilusher.logic.fold;

import java.util.Map;

import org.pcollections.TreePMap;

/**
 * Sorted persistent maps: a change shares its structure with the map before it, so that
 * each state stays readable from any thread, and equal states serialize alike.
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
