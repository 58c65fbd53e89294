package embershift.program;

import embershift.operations.HostEjections;
import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
import embershift.transport.EventLoop;

/**
 * What else lives on a node's loop, where its operator's file asks for it: takes orders from
 * elsewhere and tells what the node does. The platform's run has none. All calls come on the loop.
 */
public interface NodeExtension {

    /** Before clients are taken. */
    void start(NodeContext node);

    /** Whether clients may be sent here, as far as this one knows. */
    boolean isReady();

    /** A configuration that was read, with what this one has to say in place of some of it. */
    NodeConfiguration adapt(NodeConfiguration configuration);

    /** The node takes no more clients; it ends once what is here is elsewhere. */
    void shutDown();

    /** The node, for its companion. */
    interface NodeContext {

        EventLoop loop();

        Router router();

        HostEjections ejections();

        /** As it was read last. */
        NodeConfiguration configuration();

        /** Whether clients are taken now, but for what the companion says. */
        boolean isServing();

        void log(String line);

        /** Leaves as at SIGTERM, then ends with that exit status. */
        void exit(int status);
    }
}
