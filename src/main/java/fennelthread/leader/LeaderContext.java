package fennelthread.leader;

import fennelthread.net.EventLoop;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;

/**
 * The dependencies that all components of a leader's term share. They live as long as the process
 * and are used on the event loop's thread.
 *
 * @param state the client of the state service, for the leader's transactions
 * @param replica the local copy of all live records
 * @param lease this controller's leadership; its fencing condition is part of every transaction
 */
public record LeaderContext(
    EventLoop eventLoop,
    Settings settings,
    Options options,
    StateClient state,
    Replica replica,
    LeaderLease lease) {}
