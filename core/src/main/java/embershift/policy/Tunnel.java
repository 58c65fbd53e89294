package embershift.policy;

import embershift.model.DeclineReason;
import embershift.model.Deployment.Profile;
import embershift.model.GroupId;
import embershift.model.SubjectId;
import embershift.model.TunnelId;
import embershift.policy.Policy.Host;
import java.util.ArrayList;
import java.util.List;

/** A tunnel's row in the table: what the node knows of it until it ends. */
final class Tunnel {
    final TunnelId id;
    final Profile profile;
    final SubjectId subject;
    final GroupId group;
    final double clientGivesUpAt;
    final List<Host> tried = new ArrayList<>(2);
    Host host;
    int setups;
    boolean out;
    boolean open;
    boolean moving;
    boolean mayHaveRun;
    Host mayHaveRunAt;
    double firstSentAt;
    int asks;
    Host asked;
    double askedUntil;

    /** Why it can't be sent now; counted where it is declined. */
    DeclineReason obstacle;

    Tunnel(TunnelId id, Profile profile, SubjectId subject, GroupId group, double clientGivesUpAt) {
        this.id = id;
        this.profile = profile;
        this.subject = subject;
        this.group = group;
        this.clientGivesUpAt = clientGivesUpAt;
    }

    /** When hosts stop dropping repeats of this tunnel. */
    double dedupWindowEnd() {
        return firstSentAt + profile.dedupWindow();
    }
}
