import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One channel of a requester. It sends one request at a time and reads the whole answer. */
final class Caller implements AutoCloseable {

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Caller(int port, int readTimeoutMs) throws IOException {
        this.socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        this.socket.setTcpNoDelay(true);
        this.socket.setSoTimeout(readTimeoutMs);
        this.in = new BufferedInputStream(this.socket.getInputStream());
        this.out = this.socket.getOutputStream();
    }

    void sendHead(String method, String path, String id, String key, long deadlineMs, int bodyBytes, String more)
            throws IOException {
        this.out.write((method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMs + "\r\n" + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n") + more
                + (bodyBytes > 0 || method.equals("POST") ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        this.out.flush();
    }

    void sendBody(byte[] part) throws IOException {
        this.out.write(part);
        this.out.flush();
    }

    /** Reads an answer; its status is 0 if the channel ended before the answer was complete. */
    Answer readAnswer() {
        try {
            String status = line();
            if (status == null) {
                return new Answer(0, Map.of(), "the channel was closed without an answer");
            }
            Map<String, String> headers = new TreeMap<>();
            for (String header = line(); header != null && !header.isEmpty(); header = line()) {
                headers.put(header.substring(0, header.indexOf(':')).toLowerCase(Locale.ROOT),
                        header.substring(header.indexOf(':') + 1).trim());
            }
            byte[] body = this.in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            return new Answer(Integer.parseInt(status.split(" ")[1]), headers,
                    new String(body, StandardCharsets.ISO_8859_1));
        }
        catch (IOException ex) {
            return new Answer(0, Map.of(), ex.toString());
        }
    }

    /** Reads a body in chunks; returns whether it came to its end. */
    boolean readStream() {
        return readChunks() != null;
    }

    /** Reads a body in chunks; returns null if the channel ended before the last chunk. */
    String readChunks() {
        StringBuilder body = new StringBuilder();
        try {
            while (true) {
                String size = line();
                if (size == null) {
                    return null;
                }
                int bytes = Integer.parseInt(size, 16);
                byte[] chunk = this.in.readNBytes(bytes + 2);
                if (chunk.length < bytes + 2) {
                    return null;
                }
                if (bytes == 0) {
                    return body.toString();
                }
                body.append(new String(chunk, 0, bytes, StandardCharsets.ISO_8859_1));
            }
        }
        catch (IOException ex) {
            return null;
        }
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = this.in.read(); next >= 0; next = this.in.read()) {
            if (next == '\n') {
                return line.toString().trim();
            }
            line.append((char) next);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        this.socket.close();
    }

    record Answer(int status, Map<String, String> headers, String body) {
    }
}
