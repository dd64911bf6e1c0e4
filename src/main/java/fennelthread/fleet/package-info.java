/**
 * The machines of the cloud as the leader of one term knows them, the attempts that may be on them,
 * and scaling out and in.
 *
 * <p>{@link fennelthread.fleet.Fleet} is the place to begin: it owns the {@link
 * fennelthread.fleet.Machine}s and their {@link fennelthread.fleet.Attempt}s, processes reports,
 * sends starts and commands, and expires leases. {@link fennelthread.fleet.MachineProvisioner}
 * rents machines and returns them. A new {@code Fleet} is created at each election and thrown away
 * with its term; what it must know of before comes from start records and from workers' reports.
 *
 * <p>All of it runs on the thread of the controller's event loop; nothing here is thread-safe.
 */
package fennelthread.fleet;
