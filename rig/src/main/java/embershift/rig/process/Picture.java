package embershift.rig.process;

import embershift.rig.history.History;
import embershift.rig.history.Operation;
import java.awt.Color;
import java.awt.Graphics2D;
import java.awt.image.BufferedImage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.imageio.ImageIO;

/**
 * One picture of a run: time across; a row for each process with its faults, and one for each
 * client with its calls.
 */
final class Picture {

    private static final int LEFT = 80;
    private static final int WIDTH = 1400;
    private static final int ROW = 24;

    private Picture() {}

    static void draw(History history, Schedule schedule, Path file) throws IOException {
        double end = Math.max(1, history.now());
        List<String> rows = new ArrayList<>();
        for (int i = 1; i <= schedule.instances(); i++) {
            rows.add("i" + i);
        }
        for (int i = 0; i < schedule.clients(); i++) {
            rows.add("c" + i);
        }
        BufferedImage image =
                new BufferedImage(
                        LEFT + WIDTH + 20, ROW * (rows.size() + 2), BufferedImage.TYPE_INT_RGB);
        Graphics2D on = image.createGraphics();
        on.setColor(Color.WHITE);
        on.fillRect(0, 0, image.getWidth(), image.getHeight());
        for (int i = 0; i < rows.size(); i++) {
            on.setColor(Color.BLACK);
            on.drawString(rows.get(i), 5, ROW * (i + 1) + 15);
        }
        for (int second = 0; second <= end; second++) {
            on.setColor(Color.LIGHT_GRAY);
            on.drawLine(x(second, end), ROW, x(second, end), image.getHeight() - ROW);
            on.drawString(String.valueOf(second), x(second, end), image.getHeight() - 5);
        }
        Map<String, History.Event> open = new HashMap<>();
        for (History.Event event : history.events()) {
            int row = rows.indexOf(event.whom());
            if (row < 0) {
                continue;
            }
            if (event.sort().equals("over")) {
                History.Event began = open.remove(event.whom() + event.text());
                if (began != null) {
                    on.setColor(new Color(255, 160, 120));
                    on.fillRect(
                            x(began.at(), end),
                            ROW * (row + 1) + 3,
                            Math.max(2, x(event.at(), end) - x(began.at(), end)),
                            ROW - 6);
                    on.setColor(Color.BLACK);
                    on.drawString(began.sort(), x(began.at(), end), ROW * (row + 1) + 15);
                }
            } else {
                open.put(event.whom() + event.sort(), event);
                on.setColor(Color.BLUE);
                on.drawLine(
                        x(event.at(), end), ROW * (row + 1), x(event.at(), end), ROW * (row + 2));
            }
        }
        for (Operation call : history.operations()) {
            int row = rows.indexOf("c" + call.caller());
            on.setColor(
                    call.end() == Operation.End.UNKNOWN
                            ? Color.RED
                            : call.end() == Operation.End.REFUSED
                                    ? Color.ORANGE
                                    : new Color(90, 160, 90));
            int from = x(call.began(), end);
            on.fillRect(
                    from,
                    ROW * (row + 1) + 6,
                    Math.max(1, x(Math.min(end, call.ended()), end) - from),
                    ROW - 12);
        }
        on.dispose();
        ImageIO.write(image, "png", file.toFile());
    }

    private static int x(double at, double end) {
        return LEFT + (int) (WIDTH * Math.min(at, end) / end);
    }
}
