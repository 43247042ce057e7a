package io.anvilusher.model.fleet;

/**
 * A VM on the platform's list of VMs. The list may lag behind the real state.
 *
 * @param vm name of the VM; for a backend server also the name of the server
 * @param dataCentre name of its data centre
 * @param address IP address and port of the entry or sidecar process on it
 * @param role what runs on it
 * @param service name of the service of a backend server; empty for an entry
 * @param leaving whether the platform is about to remove it
 */
public record Vm(String vm, String dataCentre, String address, VmRole role, String service, boolean leaving) {

}
