package io.anvilusher.model.config;

/**
 * How many backend servers a service may have in each data centre.
 *
 * @param minServers fewest servers
 * @param maxServers most servers
 * @param goodputWeight weight of goodput against cost; 1 weighs them alike
 */
public record ScaleSpec(int minServers, int maxServers, double goodputWeight) {

}
