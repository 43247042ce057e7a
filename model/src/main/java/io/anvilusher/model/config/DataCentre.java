package io.anvilusher.model.config;

/**
 * A data centre of the deployment.
 *
 * @param name its name
 * @param region the region that it lies in
 */
public record DataCentre(String name, String region) {

}
