package embershift.door;

import embershift.program.NodeExtension;
import embershift.protocol.NodeConfiguration;

/**
 * The control plane's agent in a node: takes orders of the control-plane instances and reports what
 * the node does. A node that hears no instance goes on by what it has.
 */
public final class FleetAgent implements NodeExtension {

    /** Exit status of a node that was shut out. */
    public static final int EXIT_SHUT_OUT = 5;

    /** Exit status of a node that left because it heard no instance any more. */
    public static final int EXIT_STALE = 6;

    private final AgentSettings settings;
    private RunningAgent agent;

    /** Creates an agent that starts with its node. */
    public FleetAgent(AgentSettings settings) {
        this.settings = settings;
    }

    @Override
    public void start(NodeContext node) {
        agent = new RunningAgent(node, settings);
        agent.start();
    }

    @Override
    public boolean isReady() {
        return agent.isReady();
    }

    @Override
    public NodeConfiguration adapt(NodeConfiguration configuration) {
        return agent == null ? configuration : agent.adapt(configuration);
    }

    @Override
    public void shutDown() {
        agent.shutDown();
    }
}
