package embershift.fleet;

import java.util.List;

/**
 * The commands by which duties pass from hand to hand; all that is decided of it is decided by
 * their conditions.
 */
public final class Grants {

    private Grants() {}

    /** Claims a duty that nobody has: done, its number is the fence. */
    public static Command.Change claim(SessionId session, long number, DutyId duty, String owner) {
        return new Command.Change(
                session,
                number,
                number,
                List.of(new Condition(duty.ownerKey(), 0)),
                List.of(
                        new Write(duty.ownerKey(), owner, true),
                        new Write(duty.fenceKey(), owner, false)));
    }

    /** Gives a duty back; refused where it was lost meanwhile. */
    public static Command.Change giveBack(
            SessionId session, long number, DutyId duty, Fence fence) {
        return new Command.Change(
                session,
                number,
                number,
                List.of(new Condition(duty.ownerKey(), fence.number())),
                List.of(new Write(duty.ownerKey(), null, false)));
    }

    /**
     * Hands a duty over to another session at once: there is no moment in which nobody has it;
     * done, its number is the fence.
     */
    public static Command.Change takeOver(
            SessionId session, long number, DutyId duty, String owner, Fence from) {
        return new Command.Change(
                session,
                number,
                number,
                List.of(new Condition(duty.ownerKey(), from.number())),
                List.of(
                        new Write(duty.ownerKey(), owner, true),
                        new Write(duty.fenceKey(), owner, false)));
    }

    /**
     * Notes progress: refused to whoever holds an earlier fence than the latest, however it came to
     * be late.
     */
    public static Command.Change note(
            SessionId session, long number, DutyId duty, Fence fence, String progress) {
        return new Command.Change(
                session,
                number,
                number,
                List.of(new Condition(duty.fenceKey(), fence.number())),
                List.of(new Write(duty.progressKey(), progress, false)));
    }
}
