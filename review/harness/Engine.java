import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a model server: reports, orders, prompts that are only read, and streams of events. */
final class Engine implements BackendServer.Handler {

    private static final long FIRST_EVENT_MS = 30;
    private static final long EVENT_INTERVAL_MS = 20;

    private final Record record;
    private final Report report;
    private final Tainted tainted;
    private final AtomicInteger active = new AtomicInteger();
    private final AtomicInteger orders = new AtomicInteger();
    private volatile String stage = "decode";
    final long bornMs = System.currentTimeMillis();
    BackendServer server;

    /**
     * @param report sends something else in place of a report, or is null
     * @param tainted is told of each event of each run, and may crash the engine; or is null
     */
    Engine(String id, Record record, Report report, Tainted tainted) throws IOException {
        this.record = record;
        this.report = report;
        this.tainted = tainted;
        this.server = new BackendServer(id, this);
    }

    String stage() {
        return this.stage;
    }

    @Override
    public void handle(BackendServer.Request request, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        String path = request.line().split(" ")[1];
        if (path.equals("/anvilusher/report")) {
            if (this.report == null || !this.report.send(socket)) {
                BackendServer.send(out, "200 OK", request.headers(), "Content-Type: application/json\r\n",
                        "{\"stage\":\"" + this.stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                                + "\"busy\":false,\"sequence\":" + this.orders.get() + ",\"queued\":0,\"active\":"
                                + this.active.get() + ",\"kv_used\":0,\"kv_total\":960802,\"kv_handles\":0}");
            }
        }
        else if (path.equals("/anvilusher/order")) {
            String body = new String(request.body(), StandardCharsets.UTF_8);
            this.orders.incrementAndGet();
            this.stage = body.contains("\"stage\":\"prefill\"") ? "prefill" : "decode";
            this.record.line(this.server.id, "takes the order " + body);
            BackendServer.send(out, "202 Accepted", request.headers(), "", "");
        }
        else if (path.startsWith("/anvilusher/")) {
            BackendServer.send(out, "200 OK", request.headers(), "", "");
        }
        else {
            stream(request, out);
        }
    }

    private void stream(BackendServer.Request request, OutputStream out) throws IOException {
        int events = Integer.parseInt(request.headers().getOrDefault("token-counts", "1,5").split(",")[1]);
        int running = this.active.incrementAndGet();
        try {
            Thread.sleep(FIRST_EVENT_MS);
            out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.headers().get("attempt-id")
                    + "\r\nResponse-Stamp: s\r\nWeight-Versions: 1\r\nServer-Load: " + running
                    + ",0,16\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int event = 1; event <= events; event++) {
                if (this.tainted != null) {
                    this.tainted.beforeEvent(this, request, event);
                }
                String text = "id: " + event + "\ndata: token\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                Thread.sleep(EVENT_INTERVAL_MS);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        catch (InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
        finally {
            this.active.decrementAndGet();
        }
    }

    interface Tainted {
        void beforeEvent(Engine engine, BackendServer.Request request, int event) throws IOException;
    }

    interface Report {
        /** Returns false to send the sound report. */
        boolean send(Socket socket) throws IOException;
    }
}
