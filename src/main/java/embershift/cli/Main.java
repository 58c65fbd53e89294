package embershift.cli;

import embershift.adapter.Adapter;
import embershift.adapter.UnreadableLine;

import java.io.IOException;

/** The command line: {@code adapter} speaks the bench's wire on standard input and output. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar embershift.jar adapter");
            System.exit(2);
        }
        try {
            new Adapter(System.in, System.out, System.err).run();
        } catch (UnreadableLine e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }
}
