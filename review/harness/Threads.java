import java.util.concurrent.ThreadFactory;

/** Starts daemon threads. */
final class Threads {

    static final ThreadFactory DAEMON = (task) -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    };

    private Threads() {
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = DAEMON.newThread(() -> {
            try {
                task.run();
            }
            catch (Exception ex) {
                // The other end closed the connection, or the script ends.
            }
        });
        thread.start();
        return thread;
    }
}
