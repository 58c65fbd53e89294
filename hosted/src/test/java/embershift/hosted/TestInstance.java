package embershift.hosted;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;

/** An instance that runs in this process until its end, with a group of its own to be founded. */
record TestInstance(int port, Path settingsFile) {

    /**
     * Starts an instance that keeps its data below a directory.
     *
     * @param sections further sections of its settings
     */
    static TestInstance start(Path directory, String sections) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path settingsFile = directory.resolve("i1.toml");
        Files.writeString(
                settingsFile,
                "name = \"i1\"\nfolder = \""
                        + directory.resolve("data")
                        + "\"\nlisten = \"127.0.0.1:"
                        + port
                        + "\"\n"
                        + sections);
        assertEquals(
                Main.run(new String[] {"instance", "--installation", settingsFile.toString()}), -1);
        return new TestInstance(port, settingsFile);
    }
}
