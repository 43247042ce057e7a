package io.anvilusher.adapters.http;

import io.undertow.client.ClientConnection;

/**
 * An open connection to a server.
 *
 * @param connection the connection of Undertow's client
 * @param input the conduit through which it reads
 */
record ServerConnection(ClientConnection connection, ResponseReadConduit input) {

}
