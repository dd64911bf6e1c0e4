/**
 * The client side of the state service, a consensus-backed key-value store that holds all records
 * of the cluster. {@link fennelthread.state.StateClient} sends reads, transactions, watches and
 * requests about leases: begin there. {@link fennelthread.state.Replica} is the controller's copy
 * of the live keys, {@link fennelthread.state.Keys} the layout of the keys, {@link
 * fennelthread.state.SizeLimits} the sizes that writers keep to. Everything runs on the
 * controller's event loop; nothing here decides about leadership or jobs.
 */
package fennelthread.state;
