package io.anvilusher.model.routing;

/**
 * A service and its share of the requests of a route.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route; 0 for no requests
 */
public record WeightedService(String service, double weight) {

	public WeightedService {
		if (service.isEmpty() || weight < 0) {
			throw new IllegalArgumentException(
					"service must be named and its weight not negative: service=\"" + service + "\", weight=" + weight);
		}
	}

}
