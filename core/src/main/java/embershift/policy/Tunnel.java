package embershift.policy;

import embershift.model.DeclineReason;
import embershift.model.Deployment.Profile;
import embershift.model.GroupId;
import embershift.model.SubjectId;
import embershift.model.TunnelId;
import embershift.policy.Policy.Host;
import java.util.ArrayList;
import java.util.List;

/** What the node knows of a tunnel until it ends. */
final class Tunnel {
    final TunnelId id;
    final Profile profile;
    final SubjectId subject;
    final GroupId group;
    final double clientTimeoutAt;
    final List<Host> triedHosts = new ArrayList<>(2);
    Host host;
    int setupsSent;
    boolean setupInFlight;
    boolean open;
    boolean moving;
    boolean mayHaveRun;
    Host mayHaveRunOn;
    double firstSentAt;
    int hostProbes;
    Host probedHost;
    double probeWaitUntil;

    /** Why the tunnel cannot be sent now; counted if it is declined. */
    DeclineReason declineReason;

    Tunnel(TunnelId id, Profile profile, SubjectId subject, GroupId group, double clientTimeoutAt) {
        this.id = id;
        this.profile = profile;
        this.subject = subject;
        this.group = group;
        this.clientTimeoutAt = clientTimeoutAt;
    }

    /** When hosts stop dropping repeats of this tunnel. */
    double dedupWindowEnd() {
        return firstSentAt + profile.dedupWindow();
    }
}
