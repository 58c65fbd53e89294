package embershift.program;

import embershift.operations.HostEjections;
import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
import embershift.transport.EventLoop;

/**
 * Runs on a node's loop besides the node itself, where the operator's settings ask for it: takes
 * orders from elsewhere and reports what the node does. A node that the platform starts has none.
 * All methods are called on the loop's thread.
 */
public interface NodeExtension {

    /** Called before the node accepts clients. */
    void start(NodeContext node);

    /** Whether clients may be sent to the node, as far as the extension is concerned. */
    boolean isReady();

    /** Returns the configuration as it was read, with the values that the extension overrides. */
    NodeConfiguration adapt(NodeConfiguration configuration);

    /** The node accepts no more clients; it exits once its tunnels are elsewhere. */
    void shutDown();

    /** The node, as its extension sees it. */
    interface NodeContext {

        /** The loop that the node runs on. */
        EventLoop loop();

        /** The router of the node's tunnels. */
        Router router();

        /** The hosts that operators have ejected. */
        HostEjections ejections();

        /** The configuration as it was read last. */
        NodeConfiguration configuration();

        /** Whether the node accepts clients now, apart from what the extension says. */
        boolean isServing();

        /** Writes a line to the node's log. */
        void log(String line);

        /** Shuts the node down as at SIGTERM, then exits with that status. */
        void exit(int status);
    }
}
