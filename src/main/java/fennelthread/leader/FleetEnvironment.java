package fennelthread.leader;

import fennelthread.fleet.CloudClient;
import fennelthread.fleet.WorkerLink;
import fennelthread.fleet.ZoneHealth;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The dependencies with which a term rents machines, reaches their workers, and decides whether
 * zones have failed and workers' leases have expired.
 *
 * @param cloud the client of the provider that machines are rented from
 * @param machineTypes the types of machines it offers
 * @param zoneHealth which zones are thought to have failed
 * @param workerLink the ways to communicate with workers
 * @param othersSilentSinceMs since when no other controller can have answered a worker's report, ms
 *     of the local clock; {@code Long.MAX_VALUE} while one still may
 * @param workerAddresses addresses by name of the workers that this controller knew before the
 *     term, also from its peers and earlier leaders
 */
public record FleetEnvironment(
    CloudClient cloud,
    MachineTypeCatalog machineTypes,
    ZoneHealth zoneHealth,
    WorkerLink workerLink,
    LongSupplier othersSilentSinceMs,
    Map<String, String> workerAddresses) {}
