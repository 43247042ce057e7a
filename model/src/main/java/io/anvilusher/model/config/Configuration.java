package io.anvilusher.model.config;

import java.util.List;
import java.util.Optional;

/**
 * One version of the operator's configuration.
 *
 * @param deployment name of the deployment
 * @param dataCentres the data centres of the deployment
 * @param services the services that the deployment offers
 * @param workspaces the workspaces that may use the deployment
 */
public record Configuration(String deployment, List<DataCentre> dataCentres, List<ServiceSpec> services,
		List<WorkspaceSpec> workspaces) {

	public Configuration {
		dataCentres = List.copyOf(dataCentres);
		services = List.copyOf(services);
		workspaces = List.copyOf(workspaces);
	}

	/**
	 * Finds a service by its name.
	 * @param name name of the service
	 * @return the service, or empty if there is none of that name
	 */
	public Optional<ServiceSpec> service(String name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

	/**
	 * Finds the service that serves a model.
	 * @param model name of the model
	 * @return the service, or empty if no service serves the model
	 */
	public Optional<ServiceSpec> serviceOfModel(String model) {
		return this.services.stream().filter((service) -> service.models().contains(model)).findFirst();
	}

	/**
	 * Finds the plain service that has a route for a request.
	 * @param method the HTTP method of the request
	 * @param path path of the request without the query
	 * @return the service, or empty if none has such a route
	 */
	public Optional<ServiceSpec> serviceOfRoute(String method, String path) {
		return this.services.stream().filter((service) -> service.route(method, path).isPresent()).findFirst();
	}

	/**
	 * Finds a workspace by its name.
	 * @param name name of the workspace
	 * @return the workspace, or empty if there is none of that name
	 */
	public Optional<WorkspaceSpec> workspace(String name) {
		return this.workspaces.stream().filter((workspace) -> workspace.name().equals(name)).findFirst();
	}

}
