package embershift.emulator.sockets;

import embershift.protocol.MalformedDataException;
import embershift.protocol.NodeConfiguration;
import embershift.rig.process.Program;
import embershift.routing.Router;
import embershift.transport.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A real node: its router on a loop of its own in this process, or the whole program in a process
 * of its own.
 */
interface NodeStand {

    /** How the platform runs it, but for the archive of classes. */
    List<String> OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-Xms24m",
                    "-Xmx96m",
                    "-XX:TieredStopAtLevel=1",
                    "-Xss256k",
                    "-XX:-UsePerfData");

    InetSocketAddress address();

    /** Asks it to stop, as SIGTERM does. */
    void leave();

    /** Ends it without a word. */
    void kill();

    void pause(double seconds);

    boolean runs();

    /** Starts a node in this process. */
    static NodeStand here(String configuration) throws IOException, MalformedDataException {
        EventLoop loop = new EventLoop();
        NodeConfiguration read = NodeConfiguration.parse(configuration, null);
        java.util.concurrent.CompletableFuture<Router> started =
                new java.util.concurrent.CompletableFuture<>();
        loop.execute(
                () -> {
                    try {
                        Router router = new Router(loop, read, line -> {});
                        router.listen(read.listen());
                        started.complete(router);
                    } catch (IOException | RuntimeException e) {
                        started.completeExceptionally(e);
                    }
                });
        Router router = started.join();
        return new NodeStand() {
            private boolean alive = true;

            @Override
            public InetSocketAddress address() {
                return read.listen();
            }

            @Override
            public void leave() {
                loop.execute(() -> router.leave(false));
            }

            @Override
            public void kill() {
                alive = false;
                loop.stop();
            }

            @Override
            public void pause(double seconds) {
                loop.execute(
                        () -> {
                            try {
                                // The whole process stands still: nothing else may run on its
                                // thread meanwhile.
                                TimeUnit.MILLISECONDS.sleep((long) (seconds * 1000));
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
            }

            @Override
            public boolean runs() {
                return alive;
            }
        };
    }

    /**
     * Starts the program that serves, by the classes that this one runs from; its log goes to a
     * file beside.
     */
    static NodeStand forked(
            String configuration, InetSocketAddress address, Path folder, String name)
            throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, configuration, StandardCharsets.UTF_8);
        Program program =
                Program.java(
                        System.getProperty("java.class.path"),
                        OPTIONS,
                        "embershift.program.Main",
                        List.of("serve", "--configuration", file.toString()),
                        Map.of(),
                        folder.resolve(name + ".log"));
        return new NodeStand() {
            @Override
            public InetSocketAddress address() {
                return address;
            }

            @Override
            public void leave() {
                program.terminate();
            }

            @Override
            public void kill() {
                program.kill();
            }

            @Override
            public void pause(double seconds) {
                program.stop();
                Thread later =
                        new Thread(
                                () -> {
                                    try {
                                        TimeUnit.MILLISECONDS.sleep((long) (seconds * 1000));
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                    program.goOn();
                                },
                                "continue");
                later.setDaemon(true);
                later.start();
            }

            @Override
            public boolean runs() {
                return program.runs();
            }
        };
    }
}
