package fennelthread;

/** Every constant of the service, with its unit and its reason. */
public final class Constants {
  /** Longest request body that is taken, bytes: the protocol's bound. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** How far two steady clocks may drift apart, as a share: the protocol's bound. */
  public static final double CLOCK_DRIFT = 0.0005;

  /** Taken off every lease beyond drift, ms: timers fire in steps of a few milliseconds. */
  public static final long LEASE_MARGIN_MS = 60;

  /** Added to a worker's lease before it counts as over, ms: steps of timers on both sides. */
  public static final long EXPIRY_MARGIN_MS = 250;

  /**
   * The grant's length as a share of a worker's lease: a successor must answer before that ends.
   */
  public static final double GRANT_SHARE_OF_LEASE = 0.4;

  /** How many renewals fit into one grant: three may fail before the lease is lost. */
  public static final int RENEWALS_PER_GRANT = 4;

  /** Longest wait for the state service's answer, ms: occasionally it takes a few hundred. */
  public static final long STATE_TIMEOUT_MS = 1_000;

  /**
   * A request to the state service without an answer for so long is overdue, ms: as a rule it takes
   * 10, in slow spells a hundred or two.
   */
  public static final long STATE_OVERDUE_MS = 250;

  /**
   * An answer that a user waits for is asked for again after so long, ms: changes are in the copy
   * of the state by then, and some users count on an answer within 200.
   */
  public static final long ANSWER_OVERDUE_MS = 120;

  /** Answers are overdue after so many times what they took lately: a slow service is no loss. */
  public static final double STATE_OVERDUE_TYPICAL = 3;

  /** Weight of one more answer in what answers take as a rule. */
  public static final double STATE_TYPICAL_WEIGHT = 0.1;

  /** So many overdue requests, and no answer since they were sent, tell that nothing is served. */
  public static final int STATE_SILENT_REQUESTS = 2;

  /** How often a transaction that someone waits for is sent, times, if its answers stay away. */
  public static final int ANSWER_TRIES = 4;

  /** Longest wait for a renewal, ms: short, since a fresh try may still save the lease. */
  public static final long RENEW_TIMEOUT_MS = 900;

  /** How long a watch is held open by the state service, ms: bounds what a lost answer costs. */
  public static final long WATCH_HOLD_MS = 5_000;

  /** Shortest time between two watch requests, ms: each counts against the request budget. */
  public static final long WATCH_GAP_MS = 80;

  /** Pause after a failed state request before it is tried again, ms. */
  public static final long RETRY_MS = 400;

  /** Random part added to every pause, as a share: keeps controllers from retrying in step. */
  public static final double JITTER = 0.3;

  /** How many state requests may wait for room in the budget: beyond that callers get 503. */
  public static final int STATE_QUEUE = 400;

  /**
   * Part of the state service's limits that one controller may use: any may have to lead, and those
   * that don't use far less. Together they may ask for too much for a moment, and then hold back.
   */
  public static final double STATE_RATE_SHARE = 0.5;

  /** Length of a burst within that part, s: the service allows one second's worth to all. */
  public static final double STATE_BURST_S = 0.5;

  /** Shortest pause before a request that the service was too busy for is sent again, ms. */
  public static final long STATE_BUSY_MS = 60;

  /** How often such a request is sent again: beyond that its sender would have waited too long. */
  public static final int STATE_TRIES_WHEN_BUSY = 3;

  /** Least burst, requests or changes: a small limit must still let one transaction through. */
  public static final double STATE_LEAST_BURST = 4;

  /** Part of the burst that each less urgent lane leaves to the more urgent ones. */
  public static final double STATE_SPARED_PER_LANE = 0.2;

  /** A round's record that has waited for so long goes before answers, ms: tasks wait for it. */
  public static final long STATE_ROUND_PATIENCE_MS = 250;

  /** The same of finished parts and removals, ms: what is not removed grows in every copy. */
  public static final long STATE_UPKEEP_PATIENCE_MS = 5_000;

  /** Longest time a user's request may wait for its turn at the state service, ms. */
  public static final long STATE_QUEUE_MS = 150;

  /** Most items asked for in one page of a list: the protocol's bound is 1,000. */
  public static final int PAGE = 500;

  /** Most bytes a value may take beside its payload: key names and JSON punctuation. */
  public static final int VALUE_SLACK_BYTES = 256;

  /** Most bytes of all values in a transaction: the protocol's bound on bodies is 64 KiB. */
  public static final int TXN_BYTES = 48 * 1024;

  /** Bytes of a transaction beside each value: the key, its conditions, punctuation. */
  public static final int TXN_BYTES_PER_CHANGE = 200;

  /**
   * Fewest changes that a transaction must be able to hold: a job moves from live to final in two.
   */
  public static final int LEAST_TXN_OPS = 2;

  /** Smallest value that we shrink to after a refusal, bytes: below that no job fits any more. */
  public static final int LEAST_VALUE_BYTES = 768;

  /** Reads of final records of needed jobs under way at once: each is one request. */
  public static final int END_READS_AT_ONCE = 4;

  /** Pause before a final record that could not be read, or was not there, is read again, ms. */
  public static final long END_READ_PAUSE_MS = 1_000;

  /**
   * How long a sibling that does not speak of chained jobs keeps us from taking them, ms: it is
   * old, would run them too early if it led, and after this long without a word it is gone or new.
   */
  public static final long OLD_SIBLING_MS = 10_000;

  /** Bytes of the names and brackets around a list of needs, and of the count of its parts. */
  public static final int NEEDS_FIELD_BYTES = 64;

  /** Bytes of one range of finished tasks: two numbers of up to three digits, two commas. */
  public static final int RANGE_BYTES = 8;

  /** How many tasks share one key of finished tasks: bounds the value at about 2 KB of ranges. */
  public static final int TASKS_PER_CHUNK = 256;

  /** Bytes that a start takes in a round record as a rule: how many are worth planning at once. */
  public static final int RECORD_BYTES_PER_START = 40;

  /** Bytes beside the texts and numbers of a job or a start in a round record: punctuation. */
  public static final int RECORD_BYTES_PER_ENTRY = 12;

  /** Most starts in one round: keeps a round's work short on a slow processor. */
  public static final int STARTS_PER_ROUND = 60;

  /** Shortest time between two rounds, ms: bounds writes; events in between share a round. */
  public static final long ROUND_GAP_MS = 60;

  /** Longest time between two rounds of a leader, ms: catches what no event announced. */
  public static final long ROUND_IDLE_MS = 1_000;

  /** Longest wait for a worker's answer to direct commands, ms. */
  public static final long COMMAND_TIMEOUT_MS = 2_500;

  /** Longest wait for a worker's answer to a question, ms: no more than a hint depends on it. */
  public static final long PROBE_TIMEOUT_MS = 1_200;

  /**
   * Pause before a worker that did not answer a question is asked again, ms: it reports by itself
   * once it can, but that may take it longer than we wait before we give its machine back.
   */
  public static final long PROBE_PAUSE_MS = 300;

  /** Most orders in one answer to a worker: keeps it below the bound on bodies; more come later. */
  public static final int ORDERS_PER_ANSWER = 400;

  /**
   * Starts that found no connection go out with the next report's answer if that comes within so
   * many report intervals; then their tasks are tried elsewhere.
   */
  public static final double CARRY_REPORTS = 1.5;

  /** Lines of the log about many machines are gathered for so long, ms: one line, not hundreds. */
  public static final long TALLY_MS = 1_000;

  /** How many machines such a line names. */
  public static final int TALLY_NAMES = 4;

  /** Most starts in one answer to a report: keeps it below the bound on bodies; more come later. */
  public static final int STARTS_PER_ANSWER = 100;

  /** How often a term looks at leases, notices and what is due, ms. */
  public static final long TERM_TICK_MS = 250;

  /** How long a worker waits for the answer to a report, ms: the protocol's time. */
  public static final long WORKER_WAITS_MS = 4_000;

  /**
   * A report that comes so many intervals after the one before it may mean that answers are lost.
   */
  public static final double DOUBT_REPORTS = 1.25;

  /** Added to that, ms: the network's delays and ours. */
  public static final long DOUBT_SLACK_MS = 1_000;

  /** Shortest time between two questions to a machine whether it was started anew, ms. */
  public static final long ASK_WHICH_MS = 2_000;

  /** Clears that wait for a higher token are sent when there are so many of one machine. */
  public static final int CLEARS_GATHERED = 4;

  /**
   * Or when so large a part of a lease has passed since its token rose for the last time: workers
   * take a higher token for a reason to report at once no more often than that.
   */
  public static final double CLEARS_LEASE_SHARE = 0.5;

  /** How many rises of a machine's session are remembered. */
  public static final int RISES_REMEMBERED = 8;

  /** Over how many leases they are counted. */
  public static final long RISES_LEASES = 5;

  /** A machine whose session rose so often meanwhile, once within the last lease, is no room. */
  public static final int RISES_NO_ROOM = 2;

  /** One whose session rose so often is given back. */
  public static final int RISES_HOPELESS = 3;

  /** A worker that missed this many reports gets no new tasks until it is heard again. */
  public static final double SILENT_REPORTS = 2.5;

  /** A worker silent for this many report intervals is asked directly whether it lives. */
  public static final double SILENT_REPORTS_ALARM = 1.4;

  /**
   * A machine with tasks that is silent for this share of its lease, and does not answer directly
   * either, is returned: sooner might hit a machine that only stutters, later costs its replicas.
   */
  public static final double SILENT_LEASE_SHARE = 0.4;

  /**
   * If more than this share of the machines is silent at once, none is returned for silence: then
   * the fault is probably ours. While most are heard, it is not, and work that is cut off with a
   * fifth of the fleet would wait for its workers' lease, counted from a takeover in the worst
   * case.
   */
  public static final double SILENT_SHARE = 0.4;

  /** How often a process looks whether it stood still, ms. */
  public static final long WAKE_LOOK_MS = 250;

  /** Looks that are so far apart tell that it did, ms: a busy moment delays timers by less. */
  public static final long WAKE_LATE_MS = 1_250;

  /** Longest time for which it then only listens, ms: whoever is silent for longer is. */
  public static final long WAKE_LISTEN_MOST_MS = 10_000;

  /** How often controllers greet one another, ms. */
  public static final long HAIL_MS = 700;

  /** Most workers' addresses in one greeting: keeps it below the bound on bodies. */
  public static final int ADDRESSES_PER_GREETING = 500;

  /** Most workers' addresses that a controller keeps: bounds memory far above any fleet. */
  public static final int KNOWN_ADDRESSES = 20_000;

  /** Longest wait for a greeting's answer, ms. */
  public static final long HAIL_TIMEOUT_MS = 1_200;

  /** A sibling not heard for this long counts as silent, ms. */
  public static final long SIBLING_SILENT_MS = 3_000;

  /** A leader refused by the state service for this long yields if a sibling is served, ms. */
  public static final long REFUSED_ALONE_MS = 2_500;

  /** After this long without an answer of the state service one is asked for, ms. */
  public static final long SERVED_CHECK_MS = 800;

  /** A leader that has heard no worker for this many report intervals yields if siblings do. */
  public static final double UNHEARD_REPORTS = 3;

  /** It waits this long at least before it yields for that reason, ms. */
  public static final long UNHEARD_LEAST_MS = 3_000;

  /** Pause before the machine types are read again from a cloud that did not say them, ms. */
  public static final long MACHINE_TYPES_RETRY_MS = 1_000;

  /**
   * Part of the heap that may live: of the serial collector's heap a third is for new objects, so
   * that at 0.667 the rest is full.
   */
  public static final double HEAP_TIGHT_SHARE = 0.58;

  /** Below this part it is roomy again. */
  public static final double HEAP_ROOMY_SHARE = 0.5;

  /** Over how long the least use is taken, ms: several collections of new objects. */
  public static final long HEAP_WINDOW_MS = 4_000;

  /** Shortest time between two collections made to measure, ms: each stops everything. */
  public static final long HEAP_COLLECT_MS = 20_000;

  /** What submitters are told to wait while the heap is tight, seconds: it takes jobs that end. */
  public static final int HEAP_RETRY_S = 10;

  /**
   * How long a sibling's promise not to help anyone take over lasts, ms: three greetings, so that
   * two may be lost; what a crash of the leader costs follows from it.
   */
  public static final long PROMISE_MS = 2_500;

  /** A leader whose promises last no longer than this writes that it goes alone, ms. */
  public static final long PROMISE_SPARE_MS = 1_000;

  /** Shortest time between two such words, ms: each is a change. */
  public static final long SOLO_RETRY_MS = 300;

  /** Promises must have been enough for so long before the word is withdrawn, ms. */
  public static final long SOLO_AFTER_MS = 5_000;

  /** A sibling that answers and does not promise for so long is bound by an old agreement, ms. */
  public static final long UNPROMISED_MS = 2_000;

  /** How often the view of the leader is looked at, ms. */
  public static final long VIEW_MS = 150;

  /** A look that comes so long after the last one tells that we were not listening, ms. */
  public static final long VIEW_LATE_MS = 500;

  /** Gaps between greetings that are remembered. */
  public static final int GREETING_GAPS = 32;

  /** A leader is silent if it stays away for so many times the longest of them. */
  public static final double GREETING_GAPS_MISSED = 2;

  /**
   * Shortest time between the beginning of an epoch, or of our process, and a takeover, ms: bounds
   * how often leaders change, and is longer than any promise that we have forgotten.
   */
  public static final long TAKEOVER_GAP_MS = 8_000;

  /** How much longer each further heir waits than the one before it, ms. */
  public static final long HEIR_STEP_MS = 300;

  /** Longest wait for a sibling's agreement, ms. */
  public static final long AGREE_TIMEOUT_MS = 500;

  /** Pause before siblings are asked again, ms. */
  public static final long AGREE_PAUSE_MS = 900;

  /**
   * Taken off the time for which leases may be kept alive without knowing what users are told, ms:
   * a worker's timers, an answer under way, a user told a moment before the record was read.
   */
  public static final long KEEP_MARGIN_MS = 1_200;

  /**
   * Least such time, ms: a copy of the state is as old as one watch is held, and one call. With
   * less than that between a lease and {@code cancel_s} a healthy leader, which knows everything
   * until about a second ago, could not answer reports; a task that is cut off then outlives its
   * withdrawal, as it does without any controller. Seven seconds once lengthened the answering of
   * settings that had room for five.
   */
  public static final long KEEP_LEAST_MS = 2_500;

  /**
   * How long a sibling's promise lasts not to answer reports in the leader's place, ms: three
   * greetings, and less than a worker takes that waits for a leader's answer before it comes to the
   * sibling.
   */
  public static final long KEEP_STILL_MS = 2_500;

  /**
   * What a controller that never answered a report in a leader's place says of when it last did,
   * ms.
   */
  public static final long KEPT_NEVER = -1;

  /** Most withdrawn jobs named in one greeting: keeps it below the bound on bodies. */
  public static final int WITHDRAWN_PER_GREETING = 500;

  /** Fewest machines of a zone, and elsewhere, for its silence to mean anything. */
  public static final int ZONE_LEAST_MACHINES = 3;

  /** A zone is away if this share of its machines is silent, while others are heard. */
  public static final double ZONE_SILENT_SHARE = 0.6;

  /** Partly away from this share on: more than single machines lose at once. */
  public static final double ZONE_PARTLY_SHARE = 0.25;

  /** A zone that was away returns once less than this share is silent. */
  public static final double ZONE_BACK_SHARE = 0.5;

  /** A zone that has returned is calm while no more than this share is silent. */
  public static final double ZONE_CALM_SHARE = 0.1;

  /** If this share is silent elsewhere too, the fault is no zone's. */
  public static final double ZONE_OTHERS_SILENT = 0.4;

  /** Least time without any report of a whole zone for it to count as silent, ms. */
  public static final long ZONE_ALL_SILENT_MS = 1_200;

  /** A look that comes so long after the last one tells that we were not listening, ms. */
  public static final long ZONE_LATE_MS = 1_000;

  /** After so many leases of silence what ran in a zone is taken for lost in what the log says. */
  public static final double ZONE_LOST_LEASES = 1.1;

  /**
   * How long a zone that has returned must be calm to be trusted, ms; twice as long each further
   * time.
   */
  public static final long ZONE_TRUST_MS = 3_000;

  /** Longest such time, ms. */
  public static final long ZONE_TRUST_MOST_MS = 60_000;

  /** How long it is remembered that a zone was away, ms. */
  public static final long ZONE_MEMORY_MS = 300_000;

  /**
   * How long the machines of a zone that is away are kept after their leases, ms: they may come
   * back.
   */
  public static final long ZONE_KEPT_MS = 300_000;

  /** What is away is replaced from so long on, ms: shorter cuts are not worth a machine's boot. */
  public static final long ZONE_REPLACE_FROM_MS = 3_000;

  /** Over how long the replacement grows to all of it, ms. */
  public static final double ZONE_REPLACE_OVER_MS = 15_000;

  /** How often a controller looks at its own state and its siblings', ms. */
  public static final long SUPERVISE_MS = 500;

  /** Reports that must be missing before a leader takes itself for deaf: chance misses a few. */
  public static final double DEAF_DUE = 30;

  /** Least silence before that, ms: a moment's congestion delays hundreds of reports at once. */
  public static final long DEAF_LEAST_MS = 1_000;

  /** With fewer workers, it is deaf after so many report intervals: each reports within 1.25. */
  public static final double DEAF_REPORTS = 1.6;

  /** Fewer silent workers than this prove nothing: they may have failed together. */
  public static final int DEAF_WORKERS = 3;

  /** How long a leader that took itself for deaf does not trust a worker's direct answer, ms. */
  public static final long DEAF_FIRST_MS = 1_000;

  /** Longest such time, ms. */
  public static final long DEAF_MOST_MS = 30_000;

  /** Deaf again within this time, the leader trusts direct answers twice as late, ms. */
  public static final long DEAF_AGAIN_MS = 15_000;

  /**
   * Direct questions a deaf leader asks at each look, to find out whether the way is open again.
   */
  public static final int DEAF_QUESTIONS = 2;

  /** Longest wait for the leader's answer to a report that is passed on, ms: workers wait 4 s. */
  public static final long RELAY_TIMEOUT_MS = 1_200;

  /** A worker that has not answered a question in this time is asked through a sibling too, ms. */
  public static final long HEDGE_MS = 300;

  /** Added to a command's time when a sibling passes it on, ms. */
  public static final long RELAY_SLACK_MS = 400;

  /** Reports under way to the leader at once: beyond that workers try the next controller. */
  public static final int RELAYS_AT_ONCE = 400;

  /**
   * After so many reports in a row that the leader did not answer, none is passed on for a while.
   */
  public static final int RELAY_FAILURES = 8;

  /** How long, ms. */
  public static final long RELAY_PAUSE_MS = 1_500;

  /** How long a worker's reports are passed on before it is sent to the leader again, ms. */
  public static final long RELAY_HOLD_MS = 12_000;

  /** Longest such time, ms. */
  public static final long RELAY_HOLD_MOST_MS = 60_000;

  /** After so long in a term, whoever obeys its leader has also reported to it, ms. */
  public static final long RELAY_SETTLED_MS = 10_000;

  /** How long it counts that a worker came here, or that a sibling said so, ms. */
  public static final long PETITION_FRESH_MS = 4_000;

  /** Shortest time between two such words through the state service, ms: each is a change. */
  public static final long PETITION_EVERY_MS = 2_000;

  /** Fewest workers that it takes. */
  public static final int PETITION_WORKERS = 2;

  /** Part of the known workers that it takes. */
  public static final double PETITION_SHARE = 0.05;

  /** A leader not heard over the mesh for this long can't be reached that way, ms. */
  public static final long PETITION_SILENT_MS = 2_000;

  /** How long a controller that yielded leaves the claim to others, ms. */
  public static final long YIELD_PAUSE_MS = 8_000;

  /**
   * A process whose predecessor ended so soon after its claim leaves the next one to others, ms.
   */
  public static final long FLAPPING_MS = 15_000;

  /** For how long, ms: siblings that are there claim within 60 ms and a call. */
  public static final long FLAPPING_PAUSE_MS = 400;

  /** Longest random wait before a claim, ms: followers rarely claim at the same instant. */
  public static final long CLAIM_SPREAD_MS = 60;

  /** Longest wait for the cloud's answer, ms. */
  public static final long CLOUD_TIMEOUT_MS = 5_000;

  /** How often the machine list is read, ms: far below the cloud's request limit. */
  public static final long LIST_EVERY_MS = 4_000;

  /** How often types and prices are read, ms. */
  public static final long FLAVORS_EVERY_MS = 30_000;

  /** How often the leader decides about renting and returning, ms. */
  public static final long RENT_EVERY_MS = 700;

  /** First pause after a refusal for capacity, per type, zone and kind, ms. */
  public static final long REFUSED_FIRST_MS = 5_000;

  /** Longest pause after refusals for capacity, ms. */
  public static final long REFUSED_MOST_MS = 40_000;

  /** Most machines in one rental request: the protocol's bound. */
  public static final int MAX_PER_RENTAL = 50;

  /** Most names in one return request: the protocol's bound. */
  public static final int MAX_PER_RETURN = 100;

  /** A machine not up after this many times its nominal boot time is returned. */
  public static final double BOOT_PATIENCE = 5;

  /** Added to that patience, s. */
  public static final double BOOT_PATIENCE_S = 20;

  /**
   * Least such patience, s: now and then none of the new machines comes up for two minutes, then
   * all.
   */
  public static final double BOOT_PATIENCE_LEAST_S = 150;

  /** Taken for the boot time of a type that is not known, s. */
  public static final double BOOT_UNKNOWN_S = 60;

  /** How many boots of a type are remembered. */
  public static final int BOOTS_REMEMBERED = 32;

  /** Nearly all of them: the rest may be slow by themselves, as a share. */
  public static final double BOOTS_NEARLY_ALL = 0.875;

  /**
   * A machine is late after so many times its nominal boot time: the cloud says 1.5 at the most as
   * a rule.
   */
  public static final double BOOT_LATE = 1.6;

  /** And after so many times what nearly all of its type took lately. */
  public static final double BOOT_SLOWER = 1.3;

  /** A late machine is given back early from so many times its nominal boot time on. */
  public static final double BOOT_DUD = 2;

  /** If so many of its type that were asked for with it or later are up. */
  public static final int BOOT_OVERTAKEN = 3;

  /** The same if the cloud has no other for us: then it costs the room of one that would come. */
  public static final int BOOT_OVERTAKEN_SCARCE = 1;

  /**
   * Late machines are not replaced if they are more than this share of what boots: then all are
   * late.
   */
  public static final double BOOT_LATE_SHARE = 0.5;

  /** How long a machine that a predecessor asked for has to report to us at least, in leases. */
  public static final double BOOT_HEARD_LEASES = 1;

  /**
   * A machine that carries out commands but whose own reports don't arrive is returned after so
   * many leases: by then every lease that its last answered report renewed is over and proven so.
   */
  public static final double MUTE_LEASES = 2;

  /** A machine silent this long beyond its lease is returned, ms. */
  public static final long LOST_PATIENCE_MS = 1_000;

  /** How many different jobs must fail on a machine within the window before it is drained. */
  public static final int BAD_MACHINE_JOBS = 2;

  /** How many tasks of one job must fail on a machine that fails nothing else, to drain it. */
  public static final int BAD_MACHINE_TASKS = 4;

  /**
   * A machine that was drained and on which tasks still run is given tasks again when none has
   * failed there for so long, ms: it may have been the jobs' fault, and its room must not stay
   * unused. An empty one is returned at once.
   */
  public static final long DRAIN_MS = 60_000;

  /** How long failures on a machine, and those of a job, are remembered, ms. */
  public static final long FAILURE_WINDOW_MS = 120_000;

  /** On how many machines a job must fail before it waits longer between tries. */
  public static final int BAD_JOB_MACHINES = 3;

  /** First pause before a task that failed or was refused is tried again, ms. */
  public static final long TASK_PAUSE_MS = 300;

  /** Longest such pause, ms; with jitter below a minute, since no job may wait for 90 s. */
  public static final long TASK_PAUSE_MOST_MS = 45_000;

  /**
   * Most tasks on one machine, ended ones that are not cleared included: a report takes up to 100
   * bytes for each, and one beyond 64 KiB is refused, until all of them end with their lease.
   */
  public static final int TASKS_PER_REPORT = 600;

  /**
   * A job that stands back for others although a machine has room for it does so for so long at
   * most, ms: users count on 90 s, of which the start takes a few.
   */
  public static final long PASSED_OVER_MS = 60_000;

  /**
   * A job that has waited for so long with nothing at work is given its first task before all
   * others, ms. Users count on four minutes; room for a task as large as a machine takes up to two
   * of them to come free.
   */
  public static final long BEGIN_AFTER_MS = 90_000;

  /** Part of the fleet's CPUs on which first tasks of such jobs run out of turn; one always may. */
  public static final double TURNS_SHARE = 0.05;

  /**
   * Such a task is stopped for nobody for so long at least, s: a start counts that lasts for 30.
   */
  public static final double KEPT_LEAST_S = 60;

  /** And for so many times what it is expected to take. */
  public static final double KEPT_TIMES = 2;

  /**
   * From this age on a job's work counts for less when small goes before large, ms. Sooner,
   * backlogs of half a minute would be worked off from their old end, and one build in a hundred
   * more is late.
   */
  public static final long WORK_AGES_AFTER_MS = 60_000;

  /** For each such while beyond that it counts half, ms. */
  public static final double WORK_HALVED_MS = 60_000;

  /** Part of the machines that may be kept free for tasks that nothing else makes room for. */
  public static final double HOLDS_SHARE = 0.05;

  /**
   * How long a task waits for room that comes free by itself before others are stopped for it, s.
   */
  public static final double PATIENCE_S = 5;

  /** The same of classes for which a time to the start is set, s: about what stopping takes. */
  public static final double PATIENCE_SHORT_S = 0.5;

  /** Least part of its time that a task is thought to run on, however long it has run. */
  public static final double RUN_LEFT_LEAST = 0.25;

  /** A job late by this many times the last time set for it no longer stands back for others. */
  public static final double LATE_PATIENCE = 3;

  /**
   * Part of the time that a job could wait when it was released and still be done for those that
   * need it, after which it stops other work in their name. Before that it only comes first where
   * there is room: a pipeline's time is meant to be waited with, stopped work is lost.
   */
  public static final double LENT_PATIENCE = 0.5;

  /** How long demand is remembered when deciding what to rent, ms. */
  public static final long DEMAND_WINDOW_MS = 180_000;

  /** How long a done job waits for others to share its write, ms: its user polls 3 s later. */
  public static final long FLUSH_DONE_MS = 80;

  /** Shortest time between two writes of finished parts of jobs, ms: each part costs a write. */
  public static final long FLUSH_PARTS_MS = 1_000;

  /** Kept final answers in memory, entries; older ones are read from the state service. */
  public static final int FINAL_CACHE = 20_000;

  /** How often the leader removes records that nobody needs any more, ms. */
  public static final long SWEEP_MS = 2_500;

  /** Own records that nobody needs any more and that are kept to be written over, keys. */
  public static final int SPARE_RECORDS = 48;

  /**
   * A record of which at most this part of a full one lives, 1 in so many, may be drawn together.
   */
  public static final int SPARSE_RECORD_PARTS = 4;

  /** Round records, or starts in them, beyond so many times what lives are drawn together. */
  public static final int RECORDS_PER_NEEDED = 4;

  /** Round records that are too few to bother with, keys. */
  public static final int RECORDS_SLACK = 128;

  /** Starts in round records that are too few to bother with: some hundred kilobytes of heap. */
  public static final int STARTS_SLACK = 4_000;

  /**
   * Longest wait of a user's request inside the service, ms: it takes up to three calls to the
   * state service, of 10 ms each as a rule and now and then of a few hundred.
   */
  public static final long ANSWER_MS = 1_000;

  /** Users told to come back are counted for so long for one line of the log, ms. */
  public static final long REFUSALS_LOG_MS = 10_000;

  /** How many submissions may wait for a transaction: the next ones are told to come back. */
  public static final int ACCEPT_QUEUE = 200;

  /** Acceptances under way at once: one that takes long must not hold up the others. */
  public static final int ACCEPTS_AT_ONCE = 3;

  /** Confirmations under way at once; more share a transaction instead. */
  public static final int CONFIRMS_AT_ONCE = 2;

  /** What users are told to wait after a refusal, seconds: the shortest the protocol knows. */
  public static final int RETRY_AFTER_S = 1;

  /** Idle connections kept per address. */
  public static final int IDLE_PER_ADDRESS = 4;

  /** How long an idle connection of ours is kept, ms: peers may drop theirs without a word. */
  public static final long IDLE_MS = 20_000;

  /** Connection attempts to the state service, the cloud or a sibling at a time. */
  public static final int CONNECTING_PER_ADDRESS = 4;

  /** Connection attempts to a worker at a time: dead ones hang, and many may die at once. */
  public static final int CONNECTING_PER_WORKER = 1;

  /** Sockets that attempts to one worker may hold, those that were given up included. */
  public static final int OPENING_PER_WORKER = 2;

  /** A machine to which no connection could be had gets no starts for this long, ms. */
  public static final long UNREACHABLE_PAUSE_MS = 3_000;

  /** How long a connection attempt counts as under way, ms: it is answered in a few if at all. */
  public static final long CONNECT_TIMEOUT_MS = 5_000;

  /**
   * Part of the process's sockets that our own connections may take: the workers' connections, the
   * users' and the siblings' need the rest.
   */
  public static final double OUTBOUND_SHARE = 0.2;

  /**
   * Part of our connections that attempts for spare calls may hold: attempts at machines that are
   * cut off or hang end only when the system gives up, and hundreds of them once left none for
   * starts.
   */
  public static final double SPARE_SHARE = 0.35;

  /**
   * Questions to workers under way at once, as a share of the connections we may have: after a
   * takeover hundreds wait for one, and starts and stops need connections too.
   */
  public static final double PROBING_SHARE = 0.5;

  /** Part of the process's sockets beyond which connections that nobody uses are closed. */
  public static final double SOCKETS_FULL_SHARE = 0.9;

  /**
   * Part of the process's sockets beyond which a worker's connection is closed after each answer:
   * what is left is for users, siblings and health checks, and for the workers that come next.
   */
  public static final double SOCKETS_CROWDED_SHARE = 0.83;

  /**
   * A connection to us unused for so long is stale, ms: workers report and users poll more often.
   */
  public static final long STALE_CONNECTION_MS = 10_000;

  /** A connection to us without a request for so long is closed even if there is room, ms. */
  public static final int NO_REQUEST_MS = 90_000;

  /** Connections that may wait to be accepted: a whole fleet comes at once after a takeover. */
  public static final int BACKLOG = 256;

  /** Largest answer that is read, bytes: watches have no limit, so this only guards memory. */
  public static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

  /** Bits of a token below the epoch: the leader may raise a worker's token a million times. */
  public static final int TOKEN_BITS = 20;

  /** Bits of an attempt number below the epoch. */
  public static final int ATTEMPT_BITS = 24;

  /** What one more finished task leaves of the weight of those before, as a share. */
  public static final double RUN_TIME_FADE = 0.95;

  /** How many tasks as long as estimated a class begins with: its first ones tell little. */
  public static final double RUN_TIME_PRIOR = 3;

  /** Most that one task may say, as a multiple of its estimate: one stuck task is no rule. */
  public static final double RUN_TIME_MOST = 5;

  /** Amounts that differ by less count as equal, units of the amount: sums of decimal values. */
  public static final double EPSILON = 1e-9;

  /** What is left of a fetch under way, as a share: unknown, so a little more than the half. */
  public static final double FETCH_LEFT = 0.6;

  /** What one more replica of the class on a machine with the image counts, in emptiness. */
  public static final double CROWD_CACHED = 0.2;

  /** Above any score of a machine that has the image, s. */
  public static final double NOT_CACHED = 1_000;

  /** How often a change of a job that met another one is tried again, times. */
  public static final int JOB_TRIES = 4;

  /** The changes of a job's end: its live record goes, its final record comes. */
  public static final int CHANGES_PER_END = 2;

  /** Longest text of an attempt number, bytes: 64 bits in decimal. */
  public static final int LONGEST_ATTEMPT = 20;

  /** Standard errors by which a slope must differ from nothing to count as growth. */
  public static final double SLOPE_ERRORS = 3;

  /** Share of the variance from which on measured points count as a line. */
  public static final double LINE_R_SQUARED = 0.98;

  /** Values below this are taken for nothing in the tables of capacity, in their unit. */
  public static final double SLOPE_VISIBLE = 1e-3;

  private Constants() {}

  /**
   * Within which a job's first task begins, ms: the operators' bound, which the lab holds days to.
   */
  public static final long BEGUN_WITHIN_MS = 240_000;

  /**
   * Within which some question about a job is answered once nothing fails any more, ms, in the lab.
   */
  public static final long ANSWERED_WITHIN_MS = 10_000;

  /**
   * Within which a job that waits gets a free machine once nothing fails any more, ms: the
   * operators' bound, which the simulation checks.
   */
  public static final long STARTED_WITHIN_MS = 90_000;

  /** The largest jobs of a class, as a share of them, in the lab. */
  public static final double LARGEST_SHARE = 0.1;

  // ---------------------------------------------------------------- the command emulate

  /** Buffer that an event loop reads into, bytes: a whole report of a full machine. */
  public static final int EMULATION_READ_BUFFER_BYTES = 64 * 1024;

  /** Longest time that an event loop waits for something to happen, ms. */
  public static final long EMULATION_IDLE_MS = 100;

  /** Blocks of loopback addresses that are tried before a run gives up, times. */
  public static final int EMULATION_BLOCK_TRIES = 50;

  /** The port that all emulated machines listen on: below the range that systems hand out. */
  public static final int EMULATION_WORKER_PORT = 19_000;

  /** The port that emulated controllers serve users and workers on. */
  public static final int EMULATION_API_PORT = 18_080;

  /** The port that emulated controllers serve one another on. */
  public static final int EMULATION_PEER_PORT = 18_081;

  /** The port of the emulated state service. */
  public static final int EMULATION_STATE_PORT = 18_379;

  /** The port of the emulated cloud. */
  public static final int EMULATION_CLOUD_PORT = 18_443;

  /** Conditions that a transaction may hold for each put or delete: the protocol's bound. */
  public static final int EMULATION_CONDITIONS_PER_OPERATION = 4;

  /** Changes that the state service remembers at least: the protocol's number. */
  public static final int EMULATION_CHANGES_KEPT = 10_000;

  /** Most bytes of a page of keys: the protocol's bound. */
  public static final long EMULATION_LIST_BYTES = 512 * 1024;

  /** How often the state service looks for leases that have ended, ms: they may end 100 ms late. */
  public static final long EMULATION_LEASE_STEP_MS = 20;

  /** How often the cloud's list is drawn up, ms. */
  public static final long EMULATION_LIST_STEP_MS = 500;

  /** How long a machine that died goes on being listed as running, ms: the protocol's time. */
  public static final long EMULATION_FAILED_SHOWN_MS = 30_000;

  /** Slack in sums of CPUs and memory: binary fractions don't add up exactly. */
  public static final double EMULATION_ROUNDING = 1e-6;

  /** Shortest time between two reports of a worker, ms: the protocol's bound. */
  public static final long EMULATION_REPORT_GAP_MS = 500;

  /** How long a worker waits for the answer to a report, ms: the protocol's time. */
  public static final long EMULATION_REPORT_TIMEOUT_MS = 4_000;

  /** Most of the pause before a worker follows a redirect, ms: the protocol's bound. */
  public static final int EMULATION_REDIRECT_PAUSE_MS = 500;

  /** Pause before the next controller is tried, ms: the protocol's time. */
  public static final long EMULATION_NEXT_MEMBER_MS = 1_000;

  /** How often a source of events says up to when it has told all, ms. */
  public static final long EMULATION_WATERMARK_MS = 100;

  /** How often counters are read, ms. */
  public static final long EMULATION_SAMPLE_MS = 500;

  /** How often events are brought into order and conditions are looked at, ms. */
  public static final long EMULATION_DRAIN_MS = 50;

  /** Broken rules that a report lists, the first ones. */
  public static final int EMULATION_VIOLATIONS_KEPT = 50;

  /** Tasks of a cancelled job that a report names. */
  public static final int EMULATION_PLACES_NAMED = 3;

  /** Others count as answered if one was within this time, ms. */
  public static final long EMULATION_ANSWERING_MS = 5_000;

  /** A job counts as forgotten if no question is answered for so long, ms: the protocol's time. */
  public static final long EMULATION_FORGOTTEN_MS = 90_000;

  /** Longest time that a histogram tells apart, microseconds: an hour. */
  public static final long EMULATION_LONGEST_US = 3_600_000_000L;

  /** Decimal digits that a histogram keeps of a time. */
  public static final int EMULATION_DIGITS = 3;

  /** Health checks in a row that make a controller healthy: the protocol's number. */
  public static final int EMULATION_HEALTHY_AFTER = 2;

  /** Failed health checks in a row that make it unhealthy: the protocol's number. */
  public static final int EMULATION_UNHEALTHY_AFTER = 2;

  /** How often controllers' health is checked, ms, and how long an answer may take. */
  public static final long EMULATION_PROBE_MS = 1_000;

  /** Connections to a controller that users keep for later requests. */
  public static final int EMULATION_IDLE_CONNECTIONS = 50;

  /** How often new jobs are drawn, ms. */
  public static final long EMULATION_ARRIVAL_STEP_MS = 20;

  /** How often somebody asks about a job that was never submitted, ms. */
  public static final long EMULATION_STRANGE_MS = 1_000;

  /** How long a user waits for the answer to a submission, ms: the protocol's time. */
  public static final long EMULATION_SUBMIT_TIMEOUT_MS = 5_000;

  /** How long a user goes on submitting a job, ms: the protocol's time. */
  public static final long EMULATION_GIVE_UP_MS = 60_000;

  /** Longest pause that a user lets a controller impose, s: the protocol's bound. */
  public static final long EMULATION_LONGEST_RETRY_S = 30;

  /** How often a user asks about a job, ms: the protocol's time. */
  public static final long EMULATION_POLL_MS = 5_000;

  /** How often a user asks about a job that is over, ms: its answer may never change. */
  public static final long EMULATION_LATER_POLL_MS = 60_000;

  /** How long a user waits for the answer to a question, ms: the protocol's time. */
  public static final long EMULATION_POLL_TIMEOUT_MS = 2_000;

  /** Questions a second about all accepted jobs at the end of a run. */
  public static final int EMULATION_FINAL_PER_S = 500;

  /** How long those may take beyond that, ms. */
  public static final long EMULATION_FINAL_MS = 10_000;

  /** How long events may be under way at the end of a run, ms. */
  public static final long EMULATION_SETTLE_MS = 500;

  /** How long controllers and workers may take to come up, ms: builds may share the machine. */
  public static final long EMULATION_START_MS = 60_000;

  /** How long an interrupted run may take for its report, s. */
  public static final long EMULATION_REPORT_WAIT_S = 20;

  /** Clock ticks a second in which the system counts processor time. */
  public static final double EMULATION_TICKS_PER_S = 100;

  /** Size of a page of memory, bytes. */
  public static final long EMULATION_PAGE_BYTES = 4_096;

  /** What a JVM takes beside its heap, MB. */
  public static final long EMULATION_JVM_MB = 80;

  /** Heap that state service, cloud, users and the checker take, MB. */
  public static final long EMULATION_OWN_HEAP_MB = 256;

  /** The same for each emulated machine, MB: the history of its tasks over some minutes. */
  public static final double EMULATION_OWN_HEAP_PER_MACHINE_MB = 0.2;

  /** Most processes of a run. */
  public static final int EMULATION_MOST_PROCESSES = 200;

  /** Sockets for each machine: it listens, reports, and is sent commands by one controller. */
  public static final long EMULATION_SOCKETS_PER_MACHINE = 3;

  /** Width of a plot, pixels. */
  public static final int EMULATION_PLOT_WIDTH = 600;

  /** Height of a plot, pixels. */
  public static final int EMULATION_PLOT_HEIGHT = 260;

  // ---------------------------------------------------------------- simulation

  /** Within how long a burst of cancellations in a simulation comes, ms. */
  public static final int SIMULATION_CANCEL_BURST_MS = 200;

  /** Most machines that hang with a burst of cancellations. */
  public static final int SIMULATION_CANCEL_MOST_HANGING = 8;

  /** How far a cancellation at a job's end lies from it at the most, ms. */
  public static final int SIMULATION_CANCEL_END_SPREAD_MS = 3;

  /** How often simulated users look whether a job of a pipeline got on, ms. */
  public static final int SIMULATION_PIPELINE_LOOK_MS = 200;

  /** How many times they look. */
  public static final int SIMULATION_PIPELINE_LOOKS = 3_000;

  /** Shortest time between two odd requests, ms. */
  public static final int SIMULATION_ODD_PAUSE_LEAST_MS = 100;

  /** Longest time between two odd requests, ms. */
  public static final int SIMULATION_ODD_PAUSE_MOST_MS = 600;

  /** How many jobs are looked at for one that an odd request fits. */
  public static final int SIMULATION_ODD_TRIES = 20;

  /** An amount that no machine type has. */
  public static final double SIMULATION_AMOUNT_TOO_LARGE = 1_000_000;

  /** By how much sums of amounts may be off in a simulation. */
  public static final double SIMULATION_ROUNDING = 1e-6;

  /** Shortest time for which a command is held up, ms. */
  public static final long SIMULATION_HELD_LEAST_MS = 2_000;

  /** Longest time for which a command is held up, ms. */
  public static final long SIMULATION_HELD_MOST_MS = 16_000;

  /** Events within so long stand in slots of a millisecond; a power of two, ms. */
  public static final int SIMULATION_EVENT_WINDOW_MS = 1 << 13;

  /** Least share of a class, a team or its largest jobs that has to be served. */
  public static final double SIMULATION_SERVED_SHARE = 0.5;

  /** How long users wait for the answer to a submission or cancellation, ms. */
  public static final long SIMULATION_SUBMIT_TIMEOUT_MS = 5_000;

  /** How long users wait for the answer to a question, ms. */
  public static final long SIMULATION_QUESTION_TIMEOUT_MS = 2_000;

  /** When users try again, ms. */
  public static final long SIMULATION_USER_RETRY_MS = 1_000;

  /** How many times users repeat a submission. */
  public static final int SIMULATION_SUBMISSIONS = 40;

  /** Stands for a count that an answer lacks. */
  public static final long SIMULATION_NO_COUNT = -1;
}
