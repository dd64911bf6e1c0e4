/**
 * The machines of the cloud as the leader of one term knows them, the attempts that may be running
 * on them, and scaling out and in.
 *
 * <p>Terms that the classes share:
 *
 * <ul>
 *   <li>An attempt is one try at running a task on one machine.
 *   <li>A session lasts as long as a worker's lease is renewed. When the lease expires, the worker
 *       kills its tasks and begins the session of the next number.
 *   <li>A machine that is restarted under its name is a new incarnation: its worker has forgotten
 *       its tasks and the tokens that it has seen, and counts sessions from 1.
 *   <li>A fencing token is sent with every command and answer. A worker refuses commands under a
 *       lower token than the highest that it has seen, and names the highest in its reports.
 * </ul>
 *
 * <p>{@link fennelthread.fleet.Fleet} is the entry point: it owns the {@link
 * fennelthread.fleet.Machine}s and their {@link fennelthread.fleet.Attempt}s, processes reports,
 * sends starts and commands, and expires leases. {@link fennelthread.fleet.MachineProvisioner}
 * rents machines and returns them. A {@code Fleet} is created at each election and dropped at the
 * end of its term. It learns what earlier terms have started from start records and from workers'
 * reports.
 *
 * <p>All of it runs on the thread of the controller's event loop; nothing here is thread-safe.
 */
package fennelthread.fleet;
