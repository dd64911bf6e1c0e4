package fennelthread.leader;

import fennelthread.net.EventLoop;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;

/**
 * What every part of a leader's term works with. All of it lives as long as the process and is used
 * on the event loop's thread.
 *
 * @param state the client of the state service, for the leader's transactions
 * @param replica the local copy of all live records
 * @param lease the right to lead; its fencing condition is part of every transaction
 */
public record LeaderContext(
    EventLoop eventLoop,
    Settings settings,
    Options options,
    StateClient state,
    Replica replica,
    LeaderLease lease) {}
