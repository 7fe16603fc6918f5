package firstair.fleet.ledger;

import io.microraft.RaftEndpoint;

/** A voter as an endpoint of the Raft engine. */
record Voter(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    static String nameOf(RaftEndpoint endpoint) {
        return endpoint == null ? null : ((Voter) endpoint).name;
    }
}
