package fennelthread.fleet;

import fennelthread.net.EventLoop;
import fennelthread.net.StallDetector;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;

/**
 * The settings and collaborators that scaling out and in share.
 *
 * @param cloud rents and takes back machines
 * @param fleet the machines of the term
 * @param zones the health of the zones
 * @param stalls tells whether this process has just stalled, so that reports may still be unread
 */
public record ProvisioningContext(
    EventLoop eventLoop,
    Settings settings,
    Options options,
    CloudClient cloud,
    Fleet fleet,
    ZoneHealth zones,
    StallDetector stalls) {}
