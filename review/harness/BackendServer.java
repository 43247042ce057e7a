import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for a backend server: reads one request at a time on a channel and hands it to a handler. */
final class BackendServer {

    final String id;
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

    BackendServer(String id, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(() -> {
            while (true) {
                Socket socket = this.listener.accept();
                this.channels.add(socket);
                Threads.start(() -> serve(socket));
            }
        });
    }

    /** Ends as a crashed process does: its port has no listener and all of its channels are reset. */
    void crash() throws IOException {
        this.listener.close();
        for (Socket socket : this.channels) {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    String address() {
        return "127.0.0.1:" + this.listener.getLocalPort();
    }

    /** The entry that the server writes to the store. */
    String entry(String service, String state, int slots, long bornMs, String stage) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":"
                + slots + ",\"state\":\"" + state + "\",\"cold_left_ms\":0,\"sequence\":1,\"born\":" + bornMs
                + (stage.isEmpty() ? "" : ",\"stage\":\"" + stage
                        + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]")
                + "}";
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            for (String line = line(in); line != null; line = line(in)) {
                Map<String, String> headers = new TreeMap<>();
                for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                    int colon = header.indexOf(':');
                    headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
                }
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                if (!this.id.equals(headers.getOrDefault("expect-instance", this.id))) {
                    send(socket.getOutputStream(), "421 Misdirected Request", headers, "Instance-Id: " + this.id + "\r\n", "");
                    continue;
                }
                this.handler.handle(new Request(line, headers, body), socket);
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString().trim();
            }
            line.append((char) next);
        }
        return null;
    }

    /** Sends a whole answer that echoes the request's id. */
    static void send(OutputStream out, String status, Map<String, String> headers, String more, String body)
            throws IOException {
        String id = headers.containsKey("attempt-id") ? "Attempt-Id: " + headers.get("attempt-id") + "\r\n" : "";
        out.write(("HTTP/1.1 " + status + "\r\n" + id + more + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    record Request(String line, Map<String, String> headers, byte[] body) {
    }

    interface Handler {
        void handle(Request request, Socket socket) throws IOException;
    }
}
