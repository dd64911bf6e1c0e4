package fennelthread.leader;

import fennelthread.fleet.CloudClient;
import fennelthread.fleet.WorkerLink;
import fennelthread.fleet.ZoneHealth;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * What the machines of a term are reached, rented and judged by.
 *
 * @param cloud the provider that machines are rented from
 * @param machineTypes the types of machines it offers
 * @param zoneHealth which zones are thought to have failed
 * @param workerLink the ways to communicate with workers
 * @param othersSilentSinceMs the time since when no other controller can have answered a report, ms
 *     of the local clock; {@code Long.MAX_VALUE} while one still could
 * @param workerAddresses addresses, by name, of workers that peers or predecessors knew
 */
public record FleetEnvironment(
    CloudClient cloud,
    MachineTypeCatalog machineTypes,
    ZoneHealth zoneHealth,
    WorkerLink workerLink,
    LongSupplier othersSilentSinceMs,
    Map<String, String> workerAddresses) {}
