package io.anvilusher.model.routing;

/**
 * A service's share of a route.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route; zero for none
 */
public record WeightedService(String service, double weight) {

	public WeightedService {
		if (service.isEmpty() || weight < 0) {
			throw new IllegalArgumentException("A route needs a service with a weight of zero or more");
		}
	}

}
