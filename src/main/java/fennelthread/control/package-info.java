/**
 * The work of a controller other than scheduling: routes the workers' reports ({@link
 * fennelthread.control.ReportRouter}), steps down when it can't serve as leader ({@link
 * fennelthread.control.LeaderSupervisor}, the class to read first) and keeps what a follower must
 * know to take over. Everything runs on the event loop's thread.
 */
package fennelthread.control;
