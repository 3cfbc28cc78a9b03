/**
 * @file
 * The records that the files of src/worker share. Each part of a record is a struct, and the
 * comment of the struct names the files that write it. Nothing outside src/worker includes this.
 */
#ifndef TMX_WORKERS_INTERNAL_H
#define TMX_WORKERS_INTERNAL_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "worker/workers.h"

/** State of an attempt, as its worker reports it. */
enum tmx_reported_state {
  TMX_REPORTED_FETCHING, /**< the image is being fetched */
  TMX_REPORTED_RUNNING,  /**< its process is running */
  TMX_REPORTED_SAVING,   /**< it is saving a checkpoint, as requested by a stop command */
  TMX_REPORTED_EXITED,   /**< it has ended; `end_reason` says how */
};

/** One attempt in the latest report. */
struct tmx_reported_task {
  char job[TMX_ID_BYTES];        /**< id of the job */
  uint32_t task;                 /**< index of the task within the job */
  uint32_t attempt;              /**< number of the attempt of the task */
  enum tmx_reported_state state; /**< as the worker reports it */
  char end_reason;               /**< TMX_END_* if exited, else 0 */
  bool in_log;                   /**< the log places exactly this attempt on this machine */
};

/** The latest report, from a heartbeat or from the response to a probe or a command. Written by
 * report_intake.c; `in_log` of its tasks by reconciliation.c. */
struct tmx_worker_report {
  uint64_t session;  /**< incarnation of the worker's set of tasks; 0: no report yet */
  uint64_t sequence; /**< sequence number of the report within the session */
  struct tmx_machine_description
      description;                 /**< description of the machine, as its worker reports it */
  bool spot_notice;                /**< the cloud provider is about to reclaim the machine */
  struct tmx_reported_task *tasks; /**< owned by the record */
  size_t n_tasks;                  /**< length of `tasks` */
  uint32_t number; /**< number that this process gave the report; 0: no report yet */
};

/** Times of signs of life, in seconds on the steady clock. Written by report_intake.c, and by
 * fencing.c when a reported token is a sign of life. */
struct tmx_worker_liveness {
  double heartbeat_at;    /**< latest new heartbeat that arrived here; 0: never */
  double acknowledged_at; /**< latest proof that the worker receives what this controller sends: a
                               response, or a token of this controller; 0: never */
  double recovered_at;    /**< first sign of life after a time without contact that exceeded
                             tmx_heartbeat_timeout() */
};

/** Versions of the report and of the log that were last compared. Written by reconciliation.c;
 * is_queued by worker_table.c too. */
struct tmx_worker_reconciliation {
  uint32_t report_number;        /**< `number` of the report that was compared */
  uint32_t machine_change_count; /**< `change_count` that the machine in the replica had */
  bool is_queued;                /**< in the queue of workers whose reports may prove an end */
};

/** This controller's ownership of the machine, and the machine's fencing tokens. Written by
 * fencing.c. */
struct tmx_worker_ownership {
  bool is_owner;               /**< this controller owns the machine by the view of `as_of_term` */
  uint64_t as_of_term;         /**< term of the view from which `is_owner` was last derived */
  double since;                /**< steady clock, s: when this controller became the owner */
  uint64_t token_term;         /**< latest term of a view; token_sequence counts within it */
  uint32_t token_sequence;     /**< sequence number of the current token */
  uint64_t highest_token;      /**< highest token that the worker reports to have seen */
  uint64_t direct_start_token; /**< latest token with which a direct command may have started an
                                  attempt; 0: there was none */
  uint64_t required_token;     /**< absence of an attempt proves nothing while highest_token is
                                    lower and the session is not above required_session */
  double required_since;       /**< steady clock, s: when the wait for required_token began */
  uint64_t required_session;   /**< a session above this one voids the commands with tokens below
                                    required_token; UINT64_MAX: no session does */
  bool report_may_predate_ownership; /**< no report is known to have been sent after this
                                        controller became the owner */
};

/** State of the commands to the worker. Each field has its own writers: are_due is written by
 * commands.c and workers.c; is_queued by commands.c and worker_table.c; in_flight by commands.c,
 * probes.c and worker_connection.c; is_unanswered by fencing.c; starts_unconfirmed by fencing.c,
 * lease_renewal.c and report_intake.c. */
struct tmx_worker_commands {
  bool are_due;            /**< the log changed since commands were last derived */
  bool is_queued;          /**< in the queue of workers to which commands may be due */
  bool in_flight;          /**< a direct command awaits its response */
  bool is_unanswered;      /**< a direct command got no response and may still be executed */
  bool starts_unconfirmed; /**< a heartbeat was answered with starts, and no newer heartbeat has
                              come */
};

/** State of the responses to heartbeats while another controller owns the machine. Written by
 * lease_renewal.c. */
struct tmx_worker_redirection {
  double redirected_at; /**< steady clock, s: last redirect to the owner; 0: none since this
                           controller last responded as the owner */
  struct tmx_http_request
      *deferred_heartbeat; /**< a heartbeat that waits until this controller is
                            the owner, up to TMX_FAILOVER_REPORT_WAIT_S; NULL: none */
  double deferred_at;      /**< steady clock, s: when it was deferred */
};

/** The connection to the worker. Written by worker_connection.c. */
struct tmx_worker_connection {
  struct tmx_http_client *client; /**< owned; NULL: none is open */
  char address[TMX_NAME_BYTES];   /**< host and port to which `client` connects */
};

/** State of the probes of the machine. Written by probes.c; fencing.c resets consecutive_lost when
 * this controller becomes the owner, and worker_connection.c resets in_flight when it replaces the
 * connection. */
struct tmx_worker_probing {
  bool in_flight;       /**< a status request awaits its response */
  int consecutive_lost; /**< number of consecutive lost probes */
  double sent_at;       /**< steady clock, s: when the latest probe was sent */
};

/** The suspicion that another controller, the owner, reports of the machine. Written by
 * suspicions.c. */
struct tmx_worker_owner_suspicion {
  struct tmx_suspicion suspicion; /**< the latest report */
  char reporter[TMX_NAME_BYTES];  /**< name of the controller that reported it */
  double received_at;             /**< steady clock, s; 0: never */
  uint64_t term;                  /**< term of the view by which the reporter owned the machine */
};

/** The worker of one machine. */
struct tmx_worker {
  char id[TMX_ID_BYTES];                             /**< id of the machine; key of the table */
  struct tmx_workers *workers;                       /**< the module that owns this record */
  struct tmx_machine *machine;                       /**< its entry in the replica; NULL: none */
  struct tmx_worker_report report;                   /**< latest report */
  struct tmx_worker_liveness liveness;               /**< signs of life */
  struct tmx_worker_reconciliation reconciliation;   /**< versions last compared */
  struct tmx_worker_ownership ownership;             /**< ownership and fencing tokens */
  struct tmx_worker_commands commands;               /**< state of commands */
  struct tmx_worker_redirection redirection;         /**< responses for another owner */
  struct tmx_worker_connection connection;           /**< connection to the worker */
  struct tmx_worker_probing probing;                 /**< state of probes */
  struct tmx_worker_owner_suspicion owner_suspicion; /**< as reported by another owner */
  UT_hash_handle hh;                                 /**< entry in the table tmx_workers.all */
};

/** A queue of workers to process later. An entry is NULL if its worker was freed in the meantime.
 */
struct tmx_worker_queue {
  struct tmx_worker **items; /**< the array is owned, the workers are not */
  size_t length;             /**< entries in use, gaps included */
  size_t capacity;           /**< allocated length of `items` */
};

/** The budget of probes and the round-robin positions. Written by probes.c; worker_table.c moves a
 * position off a worker that is freed. */
struct tmx_probe_budget {
  double available;                /**< probes that may be sent now */
  struct tmx_worker *next;         /**< worker at which the next pass begins; NULL: the first */
  struct tmx_worker *next_suspect; /**< the same for the pass over suspect machines */
};

/** Messages between this controller and the workers since the last line of traffic.c. Each field
 * has its own writer. */
struct tmx_worker_traffic {
  uint64_t heartbeats;      /**< heartbeats received, by lease_renewal.c */
  uint64_t direct_commands; /**< command requests sent, empty ones included, by commands.c */
  uint64_t raised_tokens;   /**< raised sequence numbers of tokens, by fencing.c */
  double logged_at;         /**< steady clock, s: when the last line was written; by traffic.c */
};

/** The module: its table of workers and its dependencies. */
struct tmx_workers {
  struct ev_loop *loop;                  /**< not owned; runs the timers and connections */
  const struct tmx_settings *settings;   /**< not owned; read only */
  struct tmx_replica *replica;           /**< not owned; desired state of the machines */
  struct tmx_store *store;               /**< not owned; membership, and freshness of the replica */
  const struct tmx_authority *authority; /**< not owned; what this controller may do */
  struct tmx_view_manager *view_manager; /**< not owned; takes machines over */
  const struct tmx_loop_monitor *loop_monitor; /**< not owned; detects stalls of the event loop */
  struct tmx_peers *peers; /**< not owned; the other controllers and the age of their heartbeats */
  struct tmx_scheduler *scheduler;          /**< not owned; reports trigger its rounds */
  struct tmx_worker *all;                   /**< hash table by machine id; owns the records */
  struct tmx_worker_queue command_queue;    /**< workers to which commands may be due */
  struct tmx_worker_queue completion_queue; /**< workers whose reports may prove an end */
  double unregistered_seen_at; /**< steady clock, s: latest report of an unregistered machine; 0:
                                  never */
  double last_heartbeat_at;    /**< steady clock, s: latest new heartbeat of any worker; 0: never */
  int n_deferred_heartbeats;   /**< number of deferred heartbeats */
  int n_connections;           /**< number of open connections to workers */
  uint32_t report_counter;     /**< `number` of the latest report of any worker */
  double health_checked_at;    /**< steady clock, s: latest health check of the machines */
  struct tmx_worker_traffic traffic;    /**< counts of messages */
  struct tmx_probe_budget probe_budget; /**< rate limit of probes */
  struct tmx_reachability reachability; /**< as of health_checked_at */
  bool most_send_no_heartbeats; /**< most of this controller's machines send it no heartbeats, which
                                    points to a fault of this controller rather than of theirs */
  /** Liveness of this controller's machines, by index of the zone in the settings. */
  struct tmx_zone_liveness zone_liveness[TMX_ZONES_MAX];
};
#endif
