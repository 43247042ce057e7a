package io.anvilusher.model.fleet;

/**
 * A VM on the platform's lagging list.
 *
 * @param vm its name; for a backend server VM also the name of the server
 * @param dataCentre its data centre
 * @param address address of the system's process on it, as IP number and port
 * @param role what runs on it
 * @param service the service of a backend server; empty for an entry
 * @param leaving whether it is about to leave
 */
public record Vm(String vm, String dataCentre, String address, VmRole role, String service, boolean leaving) {

}
