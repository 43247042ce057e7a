package io.anvilusher.gateway;

import java.util.Optional;

import io.anvilusher.gateway.control.ConditionalTable;
import io.anvilusher.gateway.control.DutyGroup;
import io.anvilusher.gateway.control.EngineControlClient;
import io.anvilusher.gateway.control.StoreLog;
import io.anvilusher.gateway.control.StoreTable;
import io.anvilusher.gateway.control.UsageReportClient;
import io.anvilusher.gateway.wire.WireFormat;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.routing.RoutingTable;

/**
 * The interfaces, names and formats of a deployment. Implementations only translate; they
 * make no decisions.
 */
public interface DeploymentAdapter {

	/**
	 * Returns the header and body formats of requests and responses.
	 * @return the format
	 */
	WireFormat format();

	/**
	 * Returns the path at which the load balancer checks whether the gateway accepts
	 * connections.
	 * @return the path
	 */
	String readyPath();

	/**
	 * Returns the table of the store that holds the routing tables.
	 * @return the table
	 */
	StoreTable routingTables();

	/**
	 * Decodes a routing table.
	 * @param key key of the record
	 * @param value value of the record
	 * @return the routing table, or empty if the record holds no readable one
	 */
	Optional<RoutingTable> readRoutingTable(String key, byte[] value);

	/**
	 * Returns the table of the store in which servers register.
	 * @return the table
	 */
	StoreTable servers();

	/**
	 * Decodes the registration of a server.
	 * @param key key of the record
	 * @param value value of the record
	 * @return the server, or empty if the record is not readable or the server is not
	 * usable
	 */
	Optional<RegisteredServer> readServer(String key, byte[] value);

	/**
	 * Returns the usage log that all gateways share.
	 * @return the log
	 */
	StoreLog usageLog();

	/**
	 * Returns the table of sealed usage windows that all gateways share.
	 * @return the table
	 */
	ConditionalTable usageSeals();

	/**
	 * Returns the log through which gateways share where streams began.
	 * @return the log
	 */
	StoreLog streamLog();

	/**
	 * Returns the table of the store through which gateways share crashes of servers and
	 * the prompt parts and requests that cause them.
	 * @return the table
	 */
	StoreTable suspects();

	/**
	 * Returns the table of the store in which gateways register for messages between
	 * them.
	 * @return the table
	 */
	StoreTable gateways();

	/**
	 * Returns the group that elects the holder of the duties.
	 * @return the group
	 */
	DutyGroup dutyGroup();

	/**
	 * Creates the client of the model engines' control interface.
	 * @param headListener receives the head of each response, on an I/O thread
	 * @return the client
	 */
	EngineControlClient engineControl(EngineControlClient.HeadListener headListener);

	/**
	 * Returns the client for usage reports.
	 * @return the client, or empty if the deployment takes no usage reports
	 */
	Optional<UsageReportClient> usageReports();

}
