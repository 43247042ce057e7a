package io.anvilusher.model.config;

/**
 * A data centre of the deployment.
 *
 * @param name name of the data centre
 * @param region name of the region that contains it; each region has one lease
 */
public record DataCentre(String name, String region) {

}
