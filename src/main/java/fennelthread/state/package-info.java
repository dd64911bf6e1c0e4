/**
 * The client side of the state service, a consensus-backed key-value store that holds all records
 * of the cluster. Start reading at {@link fennelthread.state.StateClient}, which sends reads,
 * transactions, watches and requests about leases. {@link fennelthread.state.Replica} is the
 * controller's copy of the live keys, {@link fennelthread.state.Keys} the layout of the keys,
 * {@link fennelthread.state.SizeLimits} the limits that writers keep to. Everything runs on the
 * controller's event loop; the package makes no decisions about leadership or jobs.
 */
package fennelthread.state;
