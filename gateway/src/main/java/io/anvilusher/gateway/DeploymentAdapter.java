package io.anvilusher.gateway;

import java.util.Optional;

import io.anvilusher.gateway.control.DutyGroup;
import io.anvilusher.gateway.control.EngineCalls;
import io.anvilusher.gateway.control.StoreLog;
import io.anvilusher.gateway.control.StoreTable;
import io.anvilusher.gateway.control.UsageCalls;
import io.anvilusher.gateway.wire.WireFormat;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.routing.RoutingTable;

/**
 * What a deployment speaks. Implementations hold names, formats and calls and decide
 * nothing.
 */
public interface DeploymentAdapter {

	/**
	 * Returns the format of requests and answers.
	 * @return the format
	 */
	WireFormat format();

	/**
	 * Returns the path at which the balancer asks whether a gateway takes connections.
	 * @return the path
	 */
	String readyPath();

	/**
	 * Returns the table that holds the routing tables.
	 * @return the table
	 */
	StoreTable routingTables();

	/**
	 * Reads a routing table.
	 * @param key key of its record
	 * @param value value of its record
	 * @return the routing table, or empty if the record holds none
	 */
	Optional<RoutingTable> readRoutingTable(String key, byte[] value);

	/**
	 * Returns the table in which servers register.
	 * @return the table
	 */
	StoreTable servers();

	/**
	 * Reads a server's registration.
	 * @param key key of its record
	 * @param value value of its record
	 * @return the server, or empty if the record names no server to use
	 */
	Optional<RegisteredServer> readServer(String key, byte[] value);

	/**
	 * Returns the log that the gateways share for usage.
	 * @return the log
	 */
	StoreLog usageLog();

	/**
	 * Returns the group whose members hold the duties in turn.
	 * @return the group
	 */
	DutyGroup dutyGroup();

	/**
	 * Returns the control interface of model engines.
	 * @return the interface
	 */
	EngineCalls engineCalls();

	/**
	 * Returns the interface for usage reports.
	 * @return the interface, or empty if the deployment takes none
	 */
	Optional<UsageCalls> usageCalls();

}
