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

/** What a worker reports of an attempt. */
enum tmx_reported_state {
  TMX_REPORTED_FETCHING, /**< the image is being fetched */
  TMX_REPORTED_RUNNING,  /**< its process runs */
  TMX_REPORTED_SAVING,   /**< it writes its checkpoint, on request */
  TMX_REPORTED_EXITED,   /**< it is over; `end_reason` tells how */
};

/** One attempt of the latest report. */
struct tmx_reported_task {
  char job[TMX_ID_BYTES];        /**< id of the job */
  uint32_t task;                 /**< index of the task within the job */
  uint32_t attempt;              /**< number of the attempt of the task */
  enum tmx_reported_state state; /**< as the worker reports it */
  char end_reason;               /**< TMX_END_*, when exited */
  bool in_log;                   /**< the log places this very attempt on this machine */
};

/** The latest report, from a heartbeat or from an answer to a probe or a command. Written by
 * report_intake.c. */
struct tmx_worker_report {
  uint64_t session;  /**< incarnation of the worker's set of tasks; 0: no report came yet */
  uint64_t sequence; /**< of the report, within the session */
  struct tmx_machine_description facts; /**< what the worker says of its machine */
  bool spot_notice;                     /**< the cloud is about to take the machine back */
  struct tmx_reported_task *tasks;      /**< owned by the record */
  size_t n_tasks;                       /**< length of `tasks` */
  uint32_t number; /**< this process's count of reports, never 0 once one came */
};

/** Signs of life, each a time of the steady clock in s. Written by report_intake.c, and by
 * fencing.c when a token shows one. */
struct tmx_worker_liveness {
  double heartbeat_at;    /**< latest new heartbeat that came here; 0: never */
  double acknowledged_at; /**< latest proof that the worker receives what this controller sends: an
                               answer, or a token of this controller; 0: never */
  double recovered_at;    /**< first sign after the worker had been silent */
};

/** The report and the state of the log that were last compared. Written by reconciliation.c, and
 * is_queued by worker_table.c. */
struct tmx_worker_reconciliation {
  uint32_t report_number;   /**< `number` of the report */
  uint32_t machine_changes; /**< `change_count` of the machine in the replica */
  bool is_queued;           /**< in the queue of workers whose reports may prove an end */
};

/** This controller's ownership of the machine, and the fencing tokens of it. Written by
 * fencing.c. */
struct tmx_worker_ownership {
  bool is_owner;             /**< by the view of `as_of_term` */
  uint64_t as_of_term;       /**< term of the view that ownership was last compared with */
  double since;              /**< steady clock, s: when this controller became the owner */
  uint32_t token_sequence;   /**< of the current token of this controller for this machine */
  uint64_t highest_token;    /**< that the worker has seen, as it reports */
  uint64_t required_token;   /**< absence of an attempt proves nothing while highest_token is
                                  lower and the session is not above required_session */
  double required_since;     /**< steady clock, s: since when the worker owes that token */
  uint64_t required_session; /**< UINT64_MAX: no later session makes up for the token */
  bool is_inherited; /**< nothing has shown yet that a report was sent after this owner came */
};

/** Commands to the worker. commands.c writes all of it but what other events tell: fencing.c
 * whether a command without an answer is still to be reckoned with, report_intake.c and
 * lease_renewal.c whether starts are, probes.c and worker_connection.c whether a command is in
 * flight. */
struct tmx_worker_commands {
  bool are_due;            /**< the log or a report changed since commands were last derived */
  bool is_queued;          /**< in the queue of workers to which commands may be due */
  bool in_flight;          /**< a direct command waits for its answer */
  bool is_unanswered;      /**< a direct command got no answer: it may still be executed */
  bool starts_unconfirmed; /**< an answer with starts was sent; the next heartbeat tells */
};

/** Answers to heartbeats while another controller owns the machine. Written by
 * lease_renewal.c. */
struct tmx_worker_redirection {
  double redirected_at; /**< steady clock, s: last sent to its owner; 0: not since it was served */
  struct tmx_http_request *parked_request; /**< a heartbeat that waits for a moment until this
                                                controller is the owner; NULL: none */
  double parked_at;                        /**< steady clock, s */
};

/** The connection to the worker. Written by worker_connection.c. */
struct tmx_worker_connection {
  struct tmx_http_client *client; /**< NULL: none is open */
  char address[TMX_NAME_BYTES];   /**< host and port to which `client` connects */
};

/** Probes of the machine. Written by probes.c; fencing.c begins a new ownership with none lost, and
 * worker_connection.c ends a probe with its connection. */
struct tmx_worker_probing {
  bool in_flight; /**< a probe waits for its answer */
  int lost;       /**< in a row */
  double sent_at; /**< steady clock, s */
};

/** What another owner says of its machine. Written by suspicions.c. */
struct tmx_worker_owner_suspicion {
  struct tmx_suspicion suspicion; /**< the latest that was said */
  char reporter[TMX_NAME_BYTES];  /**< name of the controller that said it */
  double received_at;             /**< steady clock, s; 0: never */
  uint64_t term;                  /**< of the view by which it spoke */
};

/** The worker of one machine. */
struct tmx_worker {
  char id[TMX_ID_BYTES];                             /**< id of the machine; key of the table */
  struct tmx_workers *workers;                       /**< the module that owns this record */
  struct tmx_machine *machine;                       /**< once the replica has it, else NULL */
  struct tmx_worker_report report;                   /**< latest report */
  struct tmx_worker_liveness liveness;               /**< signs of life */
  struct tmx_worker_reconciliation reconciliation;   /**< what was last compared */
  struct tmx_worker_ownership ownership;             /**< ownership and fencing tokens */
  struct tmx_worker_commands commands;               /**< state of the commands to it */
  struct tmx_worker_redirection redirection;         /**< heartbeats for another owner */
  struct tmx_worker_connection connection;           /**< connection to it */
  struct tmx_worker_probing probing;                 /**< probes of the machine */
  struct tmx_worker_owner_suspicion owner_suspicion; /**< what another owner says of it */
  UT_hash_handle hh;                                 /**< of the table tmx_workers.all */
};

/** Workers to look at later. An entry is NULL when its worker was freed in the meantime. */
struct tmx_worker_queue {
  struct tmx_worker **items; /**< the array is owned, the workers are not */
  size_t length;             /**< entries in use, gaps included */
  size_t capacity;           /**< allocated length of `items` */
};

/** The budget of probes and where their turns stand. Written by probes.c. */
struct tmx_probe_budget {
  double available;                /**< probes that may be sent now */
  struct tmx_worker *next;         /**< where the next turn begins; NULL: at the first */
  struct tmx_worker *next_suspect; /**< the same for machines in doubt */
};

/** The module: its table of workers and what it works on. */
struct tmx_workers {
  struct ev_loop *loop;                /**< not owned; runs the timers and connections */
  const struct tmx_settings *settings; /**< not owned; read only */
  struct tmx_replica *replica;         /**< not owned; what the log wants of the machines */
  struct tmx_store *store; /**< not owned; tells membership and freshness of the replica */
  const struct tmx_authority *authority; /**< not owned; what this controller is entitled to do */
  struct tmx_view_manager *view_manager; /**< not owned; takes machines over */
  const struct tmx_loop_monitor *loop_monitor; /**< not owned; tells when the event loop stalled */
  struct tmx_peers *peers;               /**< not owned; the other controllers and their silence */
  struct tmx_scheduler *scheduler;       /**< not owned; its rounds are triggered by reports */
  struct tmx_worker *all;                /**< hash table by id; owns the records */
  struct tmx_worker_queue command_queue; /**< workers to which commands may be due */
  struct tmx_worker_queue completion_queue; /**< workers whose reports may prove an end */
  double unregistered_seen_at;          /**< latest report of a machine that is not registered */
  double last_heartbeat_at;             /**< latest new heartbeat of any worker; 0: never */
  int n_parked;                         /**< heartbeats that wait */
  int n_clients;                        /**< open connections */
  uint32_t report_counter;              /**< number of the latest report */
  double checked_at;                    /**< when the health of machines was last judged */
  struct tmx_probe_budget probe_budget; /**< limits the probes */
  struct tmx_reachability reachability; /**< as of checked_at */
  bool most_are_unreported; /**< most of its machines send no heartbeats: that tells of this
                                 controller, not of them */
  /** Signs of life of this controller's machines, by the index of the zone in the settings. */
  struct tmx_zone_liveness zone_liveness[TMX_ZONES_MAX];
};
#endif
