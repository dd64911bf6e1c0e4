/**
 * Renewal of workers' leases by followers while the leader is silent, and the rules that keep a
 * cancelled job's tasks from outliving their deadline meanwhile. {@link
 * fennelthread.leaserenewal.FollowerLeaseRenewer} decides whether a follower answers a worker's
 * report; read it first. {@link fennelthread.leaserenewal.ReportResponseGate} creates every answer
 * that renews a lease, the leader's included. Everything runs on the controller's event loop;
 * docs/lease-renewal.md has the reasons.
 */
package fennelthread.leaserenewal;
