/* Every constant of the program, with its unit and the reason for its value. What depends on
 * a deployment is derived from its settings instead. */
#ifndef TMX_CONSTANTS_H
#define TMX_CONSTANTS_H

/* --- limits of messages and tables (bytes, counts) --- */
#define TMX_BODY_MAX 65536        /* bytes; PROTOCOL's limit for requests */
#define TMX_REPLY_MAX (24u << 20) /* bytes; a watch has no size limit, memory has */
#define TMX_CBOR_DEPTH 16         /* levels; no message of PROTOCOL nests deeper than 5 */
#define TMX_PATH_MAX 512          /* bytes; a state key has at most 200 */
#define TMX_NAME_MAX 64           /* bytes; names of nodes, zones, teams, images */
#define TMX_ID_MAX 32             /* bytes; job ids and machine names */
#define TMX_TASKS_MAX 100000      /* tasks of one job; PROTOCOL's limit */
#define TMX_ZONES_MAX 16          /* zones; a counter a zone and job is kept */
#define TMX_TYPES_MAX 32          /* machine types in the catalog; more are ignored */
#define TMX_MEMBERS_MAX 16        /* controllers in one view */
#define TMX_OWN_SOCKETS 120 /* state, cloud, peers at both ends, listening; at most half of all */
#define TMX_WORKER_CONNS \
  0.23 /* of the other sockets: kept to workers; incoming ones have the rest */
#define TMX_IDLE_CLOSE_S 60.0 /* s; an unused incoming connection is given up ... */
#define TMX_IDLE_REPORTS 4.0  /* ... but not before a worker would have reported so often */
#define TMX_IDLE_LEAST_S 1.0  /* s; when all are taken, one unused for so long makes room */
#define TMX_PARTIAL_S 15.0    /* s; a request must arrive whole in this time */

/* --- state service (s unless said) --- */
#define TMX_WRITE_BURST_S                                                                    \
  1.0                           /* puts saved up for this long: all together stay within the \
                                   service's burst of a second */
#define TMX_WRITE_BURST_MIN 4.5 /* puts: a batch with two values, head and a job's final state */
#define TMX_RECENT_WRITES_S 3.0 /* puts of all are looked at over this time ... */
#define TMX_LOW_WRITE_LOAD_SHARE \
  0.35 /* ... and below this share of the rate nobody keeps to turns */
#define TMX_SHARED_WRITES_KEPT_SHARE \
  0.4 /* of the service's burst that is left to the others then */
#define TMX_SHARED_WRITES_UNUSED_SHARE \
  0.5                              /* ... what it holds above this share counts as unused by all */
#define TMX_COMMIT_SLOT_WRITES 2.4 /* puts of a usual batch: sets the length of a turn */
#define TMX_COMMIT_SLOT_START_SHARE                                        \
  0.45 /* of a turn: a round begins within this, the rest is for planning, \
          sending and clocks that differ */
#define TMX_PENDING_SUBMISSIONS_MAX \
  400                                /* submissions waiting for the log; more are refused at once */
#define TMX_SINGLE_SUBMISSIONS_MAX 2 /* waiting submissions: so few go out at once, each as a put \
                                      */
#define TMX_SINGLE_SUBMISSION_TRIES \
  4                                 /* that lost against a batch: then it goes with the next one */
#define TMX_LEASE_TTL_MS 6000       /* ms; refused peers are noticed sooner by heartbeats */
#define TMX_LEASE_RENEW_S 1.2       /* five tries a lease */
#define TMX_STORE_SLOW_S 0.05       /* an answer that takes longer is one of those */
#define TMX_STORE_TIMEOUT_S 2.0     /* answers take 10 ms, at times a few hundred */
#define TMX_WATCH_WAIT_MS 15000     /* ms; long, since an idle watch costs nothing */
#define TMX_WATCH_SHARE 0.45        /* of the request rate, for opening watches */
#define TMX_WATCH_BURST_S 0.4       /* ... saved up for this long */
#define TMX_READ_INDEX_SHARE 0.3    /* ... for revision reads: all waiting polls share one */
#define TMX_READ_INDEX_IDLE_S 1.0   /* a revision read at least this often, for freshness */
#define TMX_WATCH_LAG_S 0.7         /* behind a revision read this long: open the watch anew */
#define TMX_STORE_RETRY_S 0.3       /* after an error of the state service */
#define TMX_TRANSACTION_BYTES 49152 /* bytes; PROTOCOL allows 64 KiB, counted as JSON */
#define TMX_VALUE_SHARE 0.9         /* of the largest value, counted as JSON: what is used of it */
#define TMX_JSON_FRAME 64           /* bytes; what stands round a list, a value or a condition */
#define TMX_CLOCK_DRIFT 0.0005 /* steady clocks of different machines drift apart by at most this \
                                */
#define TMX_FRESH_MARGIN_S                                                                    \
  1.0 /* taken off cancel_s - lease_s: a lease counts from when the report was sent, which is \
         before it is answered, so only clocks that drift are left to allow for; more than    \
         that where cancel_s is so long that they need it */
#define TMX_FRESH_MIN_S                                                   \
  2.0 /* settings that leave less are refused: a read a second, some slow \
       */
#define TMX_START_FRESH_S                                                \
  2.5 /* no read for this long: starts wait, somebody may have cancelled \
       */
#define TMX_COMPACTION_KEYS                                                \
  1500 /* batch keys since the last fold: about 1 MB, read within a second \
          when a controller starts */
#define TMX_COMPACTION_SPARE_SHARE 0.5 /* of the write budget must be free for a step of folding \
                                        */

#define TMX_STORE_LOST_S 3.5 /* no revision read for this long: ask whether peers get any */

/* --- rounds (s) --- */
#define TMX_LINE_MAX 256         /* bytes; a line of the log: four names at most */
#define TMX_LINE_TYPICAL 26      /* bytes; a placement: bounds what is planned at once */
#define TMX_ITEM_TYPICAL 13      /* ... where operations of one job share a line */
#define TMX_ROUND_SPACING_S 0.03 /* least time between two rounds of one controller */
#define TMX_ROUND_EMPTY_S 0.1    /* after a round that was cut and had nothing to send */
#define TMX_ROUND_WRITES 2.05    /* puts of the smallest batch: one value and head */
#define TMX_FINISHED_MAX 64      /* jobs that end in one batch */
#define TMX_RESENDS_MAX 6        /* of a batch that lost the race for head; then planned anew */
#define TMX_REGISTER_MAX 256     /* machines registered in one batch */
#define TMX_PLANNER_STACK \
  ((size_t)512 << 10)              /* bytes; memory is short, and a round recurses nowhere */
#define TMX_PLAN_BUSY_S 0.1        /* of a controller's share: a round takes no longer ... */
#define TMX_PLAN_VISIT_S 5e-8      /* processor time of a machine or task looked at */
#define TMX_PLAN_VISITS_MAX 400000 /* ... and looks at no more of them: about 20 ms */
#define TMX_PLAN_VISITS_MIN 20000  /* with a share so small, a single job still finds its machine \
                                    */
#define TMX_AGED_JOB_S                                                       \
  150.0 /* a job that waited this long gets a first task, and a share of the \
           room with others as old: the largest begin within four minutes */
#define TMX_AGED_JOB_SHARE 0.1       /* of the tasks placed: that share for the oldest jobs */
#define TMX_MOVES_MIN 2              /* replicas down at a time because machines are returned ... */
#define TMX_MOVES_SHARE 0.006        /* ... or this share of all replicas */
#define TMX_ROUND_IDLE_S 2.0         /* the paper's draft period: a round without an event */
#define TMX_COMPLETIONS_DELAY_S 0.25 /* completions wait this long to share a batch */
#define TMX_OWN_PLANNER_GRACE_S                                                               \
  0.2                       /* a job's own controller goes first this long, and one full turn \
                             */
#define TMX_WRITE_SHARE 0.8 /* of the write rate for batches; some is left for lost races */
#define TMX_SINGLE_SUBMISSION_SHARE 0.08 /* ... for submissions that go out singly ... */
#define TMX_SINGLE_SUBMISSION_BURST 3.0  /* ... so many at once */
#define TMX_FETCH_TOLERANCE_S                                                                 \
  10.0                           /* a start without an aim: fetching this long is like a full \
                                    machine */
#define TMX_NO_OBJECTIVE_S 600.0 /* when a job of a class without an aim counts as late */
#define TMX_COMPLETIONS_MAX 512  /* ended attempts taken into one round */
#define TMX_RUN_ESTIMATES_MAX 32 /* classes whose run times are learned */
#define TMX_RUN_ESTIMATE_SAMPLES_MIN 8   /* tasks seen before the owners' estimates are corrected */
#define TMX_RUN_ESTIMATE_SAMPLES_MAX 200 /* tasks over which the correction is averaged */
#define TMX_RUN_ESTIMATE_LOG_BOUND \
  2.0                      /* of the logarithm: one task counts as 7 times off at most */
#define TMX_PLAN_TASKS 400 /* tasks placed in one round at most */

/* --- the loop (s) --- */
#define TMX_TICK_S 0.1 /* what has no event of its own is looked after this often */
#define TMX_LOOP_LATE_S \
  0.2 /* a tick that comes so late: what timed out here says nothing of others */

/* --- workers (s) --- */
#define TMX_TOKEN_SEQUENCE_BITS 24 /* of a token, below the term: bumps of one machine */
#define TMX_TOKEN_SEQUENCE_MAX ((1u << TMX_TOKEN_SEQUENCE_BITS) - 1)
#define TMX_COMMAND_TIMEOUT_S 1.5 /* unanswered after this: bump the token */
#define TMX_BYTES_PER_MB 1e6
#define TMX_WORKERS_MEMORY_SHARE \
  0.4 /* of a controller's memory: for machines known at a time ... */
#define TMX_WORKER_BYTES \
  2500 /* ... with their tasks, images and buffers: measured, 12 MB for 2,187 */
#define TMX_REMOVED_MACHINES_MEMORY_SHARE \
  0.05 /* ... for names of machines that are gone, for late copies of reports */
#define TMX_REMOVED_MACHINE_BYTES 160 /* ... a name in its table */
#define TMX_COMMANDS_MAX 400          /* orders in one answer */
#define TMX_FAILOVER_AFTER_S                                           \
  3.5 /* a worker that is back this long after being sent to its owner \
         cannot reach it (it waits 4 s for an answer): take it over */
#define TMX_FAILOVER_WITHIN_S 20.0    /* ... and within this */
#define TMX_FAILOVER_SILENT_S 2.0     /* ... or one that its owner has not heard for this long */
#define TMX_FAILOVER_MACHINES_MAX 200 /* machines taken over in one view */
#define TMX_FAILOVER_PARK_S 0.6  /* a report waits this long for the view that takes its worker */
#define TMX_VIEW_SPACING_S 0.15  /* between two views of one controller */
#define TMX_REPORT_LATE_S 1.0    /* past report_s and a quarter: a report is missing */
#define TMX_PROBE_AFTER_S 0.6    /* no proof of reaching a machine for this long: it is asked ... */
#define TMX_PROBE_SHARE 0.12     /* ... as far as this share of the processor goes */
#define TMX_PROBE_COST_S 0.00025 /* processor time of a probe, measured */
#define TMX_PROBE_TIMEOUT_S 0.5  /* between probes in doubt, and the wait for an answer */
#define TMX_ZONE_PARTITION_S 4.0 /* a zone counts as cut off for this long after the last sign */
#define TMX_INHERITED_SILENCE_S 8.0 /* silent for so long before this leader came: it was spared \
                                     */
#define TMX_PROBES_LOST 3           /* in a row: the machine is given up */
#define TMX_MACHINE_SILENCE_S 1.5   /* ... if it gave no other sign for this long */
#define TMX_ALIVE_S 1.2 /* a sign of life this young: shorter than it takes to lose a machine */
#define TMX_SUSPECT_PROBES_SHARE \
  0.6                           /* of the probes, for those in doubt: the others are asked on */
#define TMX_PROBE_DOUBLINGS 3   /* a machine that stays lost is asked ever less often, up to here */
#define TMX_RECOVERY_LEASES 0.2 /* of a lease: so long may one that is heard again be unreached */
#define TMX_REACHABILITY_MACHINES_MIN \
  4                                 /* machines: fewer say nothing of a controller's own trouble */
#define TMX_RECLAIM_PERIOD_S 0.25   /* machines are looked through this often */
#define TMX_LEADER_SETTLE_S 3.0     /* a new leader first hears its peers and the workers */
#define TMX_FAULTY_MACHINE_ERRORS 4 /* errors in a row from two jobs or more: a faulty machine */
#define TMX_RETRY_BASE_S 0.5        /* backoff of a job whose tasks fail: doubles a failure */
#define TMX_RETRY_MAX_S 30.0        /* and ends here */

/* --- peers (s) --- */
#define TMX_HEARTBEAT_PERIOD_S 0.4    /* heartbeat period */
#define TMX_HEARTBEAT_DEAD_S 1.3      /* refused and silent for this long: advice that it is dead */
#define TMX_HEARTBEAT_LOST_S 2.5      /* silent for this long: its advice no longer counts */
#define TMX_PEER_SILENCE_S 3.5        /* it alone is silent for this long: left out of the view */
#define TMX_RECENT_BATCH_S 1.6        /* a batch of its this young: refused, and yet alive */
#define TMX_ZONE_PARTITION_HOLD_S 5.0 /* zones are taken to be apart until heard for this long */

/* --- users (s) --- */
#define TMX_USER_WAIT_S 1.5    /* a waiting poll is refused after this; users wait 2 s */
#define TMX_SUBMIT_WAIT_S 2.5  /* a waiting submission is refused; users wait 5 s */
#define TMX_RETRY_AFTER_MIN 1  /* s; spread of Retry-After so that returns come apart */
#define TMX_RETRY_AFTER_SPAN 2 /* s */
#define TMX_POLL_FAIR_S 20.0   /* a job of which nobody was told for this long goes first */
#define TMX_USER_QUEUE 400     /* requests waiting for the state; more are refused at once */

/* --- cloud (s) --- */
#define TMX_CLOUD_TIMEOUT_S 5.0
#define TMX_CATALOG_S 60.0 /* prices move; the catalog is read again */
#define TMX_CATALOG_RETRY_S 0.5
#define TMX_LIST_S 2.0             /* the machine list is read by the leader */
#define TMX_SCALE_OUT_PERIOD_S 1.0 /* capacity is weighed this often */
#define TMX_OFFER_BACKOFF_S 15.0   /* a refused type, zone and kind rests; doubles */
#define TMX_OFFER_BACKOFF_MAX_S 120.0
#define TMX_IDLE_RETURN_S 75.0 /* an empty machine is returned: the least charge is 60 s */
#define TMX_PEAK_DEMAND_S                                                                       \
  60                             /* room is kept for the peak of this long: the least charge of \
                                    a machine, and longer than a boot */
#define TMX_DEMAND_GAP_S 5       /* s; seen with a longer gap, the peak is not known */
#define TMX_PEAK_MARGIN 0.1      /* ... and this share more, less among more than 100 machines */
#define TMX_MOVE_ROOM_FACTOR 2.0 /* times a machine's replicas must be free in its zone first */
#define TMX_MOVE_ROOM_SHARE 0.2  /* ... and this share of the zone's part of the peak */
#define TMX_DRAIN_SPACING_S 3.0  /* between two choices of machines to be returned ... */
#define TMX_DRAIN_SHARE                                                     \
  0.03 /* ... and the share of all CPUs in one choice; one machine at least \
        */
#define TMX_BACKLOG_CLEAR_S 10.0 /* a backlog that is cleared in this time needs no new machines \
                                  */
#define TMX_WAITING_SHARE \
  0.02 /* of the CPUs rented: less that waits is no reason to keep machines */
#define TMX_DRAINING_SHARE_MAX \
  0.15                       /* of all CPUs on machines that wait for replicas to leave them */
#define TMX_SCALE_OUT_MAX 50 /* machines; PROTOCOL's limit of one request */
#define TMX_SCALE_OUT_OFFER_MAX 150 /* machines asked of one type, zone and kind in one weighing \
                                     */
#define TMX_SCALE_OUTS_MAX 1024     /* machines rented in one weighing */
#define TMX_SCALE_IN_MAX 100        /* machines; PROTOCOL's limit of one request */
#define TMX_UNACKNOWLEDGED_LEASES \
  0.5                          /* of a lease: a machine that is heard and not reached is replaced */
#define TMX_NEVER_HEARD_S 25.0 /* listed as running and silent for this long, and two reports */
#define TMX_BOOT_LATE 4.0      /* times boot_s: a machine that boots longer is returned */
#define TMX_USAGE_LOG_S 10.0   /* between lines about what is rented and used */
#define TMX_HEADROOM 0.08      /* of the room booked by services, kept free for restarts */

/* --- admission --- */
/* s of the whole cluster's work that may be admitted: three times the longest usual aim */
#define TMX_ADMISSION_BACKLOG_S 900.0
/* of the bound: half is set aside for teams and classes, half goes to who asks */
#define TMX_ADMISSION_RESERVE 0.5
/* s: a class whose work waits gets a start this often, whatever else is asked for */
#define TMX_ADMISSION_START_S 45.0
/* machines kept free in a round for classes whose turn it is and that found no room */
#define TMX_RESERVED_MACHINES_MAX 16
/* s: longer than any process runs */
#define TMX_NEVER_S 1.0e9
/* a party may take four fifths of what the others leave of a pool */
#define TMX_SHARE_ALPHA 4.0
/* shares that differ by less are equal */
#define TMX_SHARE_EPSILON 1e-6
/* of a team's ceiling: so much more for jobs that await accepted ones */
#define TMX_PIPELINE_EXTRA 0.25
/* accounts a team for classes that no objective names: two names meet once in sixteen */
#define TMX_HASHED_ACCOUNTS 16
/* any, but the same in every version, or controllers judge differently */
#define TMX_ACCOUNT_HASH_SEED 0
/* s: a replica that waits for room counts as long as the least charge of a machine */
#define TMX_ADMISSION_SERVICE_S 60.0
/* s: estimates below this count as this, as a start takes as long */
#define TMX_RUN_MIN_S 1.0
#define TMX_MILLI 1000.0
#define TMX_MB_PER_GB 1000.0
/* of one resource of one job: over a day of 10,000 CPUs; nine million such jobs fit a sum */
#define TMX_LOAD_MAX 1.0e12
/* bytes of the log: record and final state of a job; a task's placement and its end */
#define TMX_LOG_JOB_BYTES 200
#define TMX_LOG_TASK_BYTES (2L * TMX_LINE_TYPICAL)
/* of the puts of batches: for values with lines, and for final states; the rest rewrites head */
#define TMX_LINES_SHARE 0.3
#define TMX_FINALS_SHARE 0.4
/* of a controller's memory: for jobs that are not over */
#define TMX_HELD_SHARE 0.25
/* of the ceiling that decides: above it a submission goes with a batch only, as these all rewrite
 * head ... */
#define TMX_SINGLE_ADMISSION_SHARE 0.5
/* ... and so does one that is larger than this share of the bound */
#define TMX_SINGLE_LOAD_SHARE 0.01
/* s; users follow Retry-After up to 30 s, with the random part */
#define TMX_ADMISSION_RETRY_MAX_S 20.0
/* of Retry-After is added at random at most: returns come apart */
#define TMX_ADMISSION_SPREAD 0.5
/* s between two lots of lines about accounts */
#define TMX_ADMISSION_LOG_S 60.0
/* the distribution of waits: bins, the factor between their bounds, the first bound in s */
#define TMX_START_BINS 64
#define TMX_START_BIN_FACTOR 1.2
#define TMX_START_BIN_FIRST_S 0.05

#endif
