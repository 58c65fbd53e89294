package embershift.emulator.world;

/** One end of a way through the network: a host, a node or the roster, in a zone. */
abstract class Place {
    final String name;
    final String zone;

    Place(String name, String zone) {
        this.name = name;
        this.zone = zone;
    }
}
