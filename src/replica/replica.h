/* The replica: every controller's copy of the state keys at one revision. Pure: it is fed
 * with keys and events and does no I/O. */
#ifndef TMX_REPLICA_H
#define TMX_REPLICA_H
#include <stdint.h>
#include <uthash.h>

#include "admission/backlog.h"
#include "config/settings.h"
#include "net/cbor.h"
#include "replica/job_dependencies.h"

#define TMX_KEY_PREFIX "t/"
#define TMX_KEY_MAX 200 /* bytes; PROTOCOL's limit */
#define TMX_KEY_JOB TMX_KEY_PREFIX "job/"
#define TMX_KEY_BATCH TMX_KEY_PREFIX "batch/"
#define TMX_KEY_PAGE TMX_KEY_PREFIX "page/"
#define TMX_KEY_COMPACTION TMX_KEY_PREFIX "fold"
#define TMX_KEY_MEMBER TMX_KEY_PREFIX "node/"
#define TMX_KEY_LEADER TMX_KEY_PREFIX "leader"
#define TMX_KEY_VIEW TMX_KEY_PREFIX "view"
#define TMX_KEY_HEAD TMX_KEY_PREFIX "head"

enum tmx_job_outcome { TMX_JOB_OPEN, TMX_JOB_DONE, TMX_JOB_CANCELLED };
enum tmx_task_state { TMX_TASK_WAITING, TMX_TASK_PLACED, TMX_TASK_DONE };
enum { TMX_PRIORITY_IDLE, TMX_PRIORITY_NORMAL, TMX_PRIORITY_HIGH, TMX_PRIORITY_PROD };

struct tmx_job_spec {
  char class[TMX_NAME_MAX], team[TMX_NAME_MAX], image[TMX_NAME_MAX], zone[TMX_NAME_MAX];
  char types[TMX_TYPES_MAX][TMX_ID_MAX];
  size_t n_types; /* 0: any */
  bool service, same_zone, spread, spot_allowed;
  int priority;
  uint32_t tasks;
  double cpus, gpus, mem_gb, image_gb, estimate_s, checkpoint_s, checkpoint_save_s,
      deadline_s;           /* <0: none */
  double fetch_tolerance_s; /* a fetch this long weighs as much as a full machine; from the aims */
  int image_id;             /* set by the replica; 0: none */
};

#define TMX_IMAGES_KEPT 12
struct tmx_image {
  int id;                  /* see tmx_image_id */
  double fetch_started_at; /* steady clock, s: when its fetch began; of old, if read at the start */
};

struct tmx_job;
struct tmx_machine;
struct tmx_task {
  struct tmx_job *job;
  struct tmx_machine *machine;  /* while placed */
  struct tmx_task *prev, *next; /* on the machine */
  uint32_t attempt;
  uint8_t state, stop_mode; /* stop: 0 no, 1 at once, 2 after saving */
  float placed_at;          /* s, steady clock of this process, when it was first seen placed */
  float running_since;      /* s; the worker reported it running; 0: not yet */
  bool completion_in_batch; /* its end is in the batch being made */
  /* what the worker's latest report says of this attempt; valid while report equals the worker's */
  uint32_t reported_in;
  uint8_t reported_state;
  char reported_end;
};
struct tmx_job {
  char id[TMX_ID_MAX];
  uint64_t version; /* version of its key, which is written with its final state; 0: none */
  struct tmx_job_spec spec;
  double submitted_at; /* time of day, s */
  double released_at;  /* time of day, s: submitted, or the last job that it needs was done */
  double ended_at;     /* time of day, s: its final state was written; 0: not known */
  bool outcome_stored; /* its final state is in its own key, rather than derived from another's */
  struct tmx_dependencies dependencies;
  struct tmx_urgency urgency;
  double loaded_at; /* steady clock, s */
  int outcome, team;
  struct tmx_task *tasks;
  uint32_t n_done, n_placed, first_waiting;
  uint32_t placed_in_zone[TMX_ZONES_MAX]; /* placed, by zone */
  double
      outcome_after; /* steady clock, s: its final state was committed after this; 0: not known */
  double
      unplaced_since;  /* steady clock, s: tasks wait, and none was placed, since; 0: none waits */
  double waiting_cpus; /* CPUs of its tasks that wait, as counted in the replica's */
  struct tmx_load remaining_load; /* what is left of it, as counted in its account */
  int account;                    /* of its class within the team; valid while charged */
  bool in_account,
      started;          /* it counts as open in its account; a task of it was seen placed here */
  double answered_at;   /* steady clock, s: a user was last told of it here */
  double longest_run_s; /* s: the longest run of a task that was seen to its end */
  uint32_t consecutive_failures; /* errors in a row */
  double retry_at;
  uint32_t n_completions_in_batch; /* of the batch being made: tasks that end as done */
  int planner_slot;                /* its place in the planner's tables */
  bool planner_update_due,
      known_to_planner; /* to be told to the planner; it knows the submission */
  /* of the batch being checked */
  uint64_t check_id;
  uint32_t check_placed_in_zone[TMX_ZONES_MAX];
  char failed_machines[4][TMX_ID_MAX]; /* where it failed lately */
  unsigned next_failed_machine;
  UT_hash_handle hh;
};
struct tmx_machine {
  char id[TMX_ID_MAX], addr[TMX_NAME_MAX], type[TMX_ID_MAX];
  int zone;                        /* index, -1: unknown */
  bool spot, registered, draining; /* known: its key exists */
  struct tmx_task *tasks;          /* placed here */
  uint32_t n_tasks;
  uint32_t change_count;                          /* counts what on_machine was told */
  int owner;                                      /* member index; -1: no view */
  double booked_cpus, booked_gpus, booked_mem_gb; /* booked */
  double service_cpus;                            /* of these CPUs, those of services */
  uint32_t consecutive_errors; /* failures in a row, and of how many jobs at least */
  char error_job[TMX_ID_MAX];
  bool errors_of_several_jobs;
  struct tmx_image images[TMX_IMAGES_KEPT]; /* latest first, as the log tells */
  size_t n_images;
  double size_cpus, size_gpus, size_mem_gb; /* of its type, set by the controller; 0: not known */
  bool usable, planner_update_due;          /* for the planner, set by the controller */
  int planner_slot;
  struct tmx_worker *worker; /* its record in src/worker, which keeps this */
  /* of the batch being checked */
  uint64_t check_id;
  double check_cpus, check_gpus, check_mem_gb;

  UT_hash_handle hh;
};
struct tmx_member {
  char name[TMX_NAME_MAX];
  uint64_t incarnation; /* version of its node key: which run of the process */
  int zone;             /* where the settings say it is; -1: not known */
};
struct tmx_owner_override {
  char machine[TMX_ID_MAX], node[TMX_NAME_MAX];
  UT_hash_handle hh; /* in the view's `taken` */
};
struct tmx_view {
  uint64_t version, term;
  struct tmx_member members[TMX_MEMBERS_MAX];
  size_t n_members;
  bool zones_partitioned; /* zones cannot reach each other: machines belong to members of their own
                           */
  struct tmx_owner_override *overrides, *overrides_by_machine;
  size_t n_overrides;
};
struct tmx_log_key { /* a batch key that still stands */
  char *key;
  uint64_t version;
  UT_hash_handle hh;
};
struct tmx_run_estimate { /* how long its tasks run, against what the owners estimate */
  char name[TMX_NAME_MAX];
  double log_ratio;
  unsigned samples;
};
struct tmx_image_name {
  char name[TMX_NAME_MAX];
  int id;
  UT_hash_handle hh;
};
struct tmx_usage {
  double cpus, gpus;
};
struct tmx_type_count { /* machines that are registered and not gone */
  char type[TMX_ID_MAX];
  uint32_t machines;
};

struct tmx_replica {
  const struct tmx_settings *settings;
  bool loaded;
  uint64_t revision, head_version, load_revision;
  struct tmx_job *jobs;
  struct tmx_machine *machines;
  struct tmx_view view;
  struct tmx_member registered_members[TMX_MEMBERS_MAX];
  size_t n_registered_members;
  char leader[TMX_NAME_MAX];
  uint64_t leader_version, leader_incarnation;
  struct tmx_log_key *batch_keys, *page_keys;
  struct tmx_log_key *removed_machines; /* machines gone by proof, the latest ones: late copies of
                               their reports must not bring them back. Names are never used again */
  uint64_t compaction_version, compaction_point,
      compaction_generation;  /* batches up to this version are in the pages of this fold */
  struct tmx_batch_sighting { /* who committed a batch of late: a sign of life */
    char node[TMX_NAME_MAX];
    double at;
  } batch_sightings[TMX_MEMBERS_MAX];
  size_t n_batch_sightings;
  int *free_machine_slots, *free_job_slots; /* free places, and how many have ever been given */
  size_t n_free_machine_slots, n_free_job_slots, cap_free_machine_slots, cap_free_job_slots;
  int machine_slots_given, job_slots_given;
  bool dependencies_in_use; /* a job that awaits others was seen: records may tell more from now on
                             */
  struct tmx_job *
      *unstored_outcomes; /* cancelled through others; their own keys do not say so yet */
  size_t n_unstored_outcomes, cap_unstored_outcomes;
  struct tmx_run_estimate run_estimates[TMX_RUN_ESTIMATES_MAX];
  size_t n_run_estimates;
  struct tmx_image_name *images; /* names are compared once: numbers from here on */
  struct tmx_usage team_usage[TMX_TEAMS_MAX];
  struct tmx_type_count type_counts[TMX_TYPES_MAX];
  size_t n_type_counts;
  struct tmx_backlog *backlog;      /* NULL: no admission */
  double booked_cpus, waiting_cpus; /* CPUs of all that is placed, and of all that waits */
  double now;                       /* steady clock at the latest event, set by the caller */
  double
      fresh_as_of; /* ... when a read began of whose revision the copy has all; set by the caller */
  /* told of what changed; may be NULL */
  void *observer;
  void (*on_machine_changed)(void *arg,
                             struct tmx_machine *machine); /* its tasks or orders changed */
  void (*on_machine_removed)(void *arg, struct tmx_machine *machine); /* its key was dropped */
  void (*on_schedulable_change)(void *arg);                           /* something worth a round */
  void (*on_job_changed)(void *arg, struct tmx_job *job); /* what the planner knows of it changed */
  void (*on_job_started)(void *arg, struct tmx_job *job); /* its first task was placed */
  void (*on_view_changed)(void *arg);                     /* owners may differ */
  void (*on_cleared)(void *arg);                          /* all is forgotten: read anew */
};

void tmx_replica_init(struct tmx_replica *replica, const struct tmx_settings *settings);
void tmx_replica_clear(struct tmx_replica *replica);
struct tmx_store_entry { /* for loading: in order of version, then key */
  char *key;
  uint64_t version;
  const cbor_item_t *value;
};
/* value NULL: dropped */
void tmx_replica_apply(struct tmx_replica *replica, const char *key, uint64_t version,
                       const cbor_item_t *value);
void tmx_replica_load(struct tmx_replica *replica, struct tmx_store_entry *items, size_t n);
void tmx_replica_advance_to(struct tmx_replica *replica,
                            uint64_t revision); /* all events to rev applied */

/* For src/replica/job_dependencies.c: a final state that was derived; what the planner knows has
 * changed. */
void tmx_replica_set_outcome(struct tmx_replica *replica, struct tmx_job *job, int fin);
void tmx_replica_job_changed(struct tmx_replica *replica, struct tmx_job *job);
/* Drops from `unstored` what has been stored meanwhile. */
void tmx_replica_prune_unstored(struct tmx_replica *replica);

struct tmx_job *tmx_job_find(const struct tmx_replica *replica, const char *id);
struct tmx_machine *tmx_machine_find(const struct tmx_replica *replica, const char *id);
bool tmx_machine_was_removed(const struct tmx_replica *replica, const char *id);
const char *tmx_machine_owner(const struct tmx_replica *replica,
                              const char *machine); /* NULL: no view */
const char *tmx_job_planner(const struct tmx_replica *replica, const char *job);
int tmx_job_planner_index(const struct tmx_replica *replica, const char *job); /* -1: no view */
int tmx_member_index(const struct tmx_replica *replica, const char *name);     /* -1: none */
const struct tmx_member *tmx_member_find(const struct tmx_replica *replica, const char *name);
static inline uint32_t tmx_task_index(const struct tmx_task *task);

/* wire forms */
bool tmx_job_spec_parse(const cbor_item_t *map, struct tmx_job_spec *spec, char *id, size_t id_cap);
bool tmx_job_id_is_valid(const char *id);
/* The ids that a submission names, each once; false: malformed. */
bool tmx_job_ids_parse(const cbor_item_t *map, struct tmx_job_ids *ids);
/* A job's record, in the form that every version reads. */
void tmx_job_encode(struct tmx_buffer *buffer, const char *id, const struct tmx_job_spec *spec,
                    double submitted, int fin);
/* ... of one that may name others, with as many of their ids as `room` (bytes as JSON) leaves;
 * returns how many. The rest follows in lines. */
uint32_t tmx_job_encode_open(struct tmx_buffer *buffer, const char *id,
                             const struct tmx_job_spec *spec, double submitted,
                             const struct tmx_job_ids *ids, size_t room);
/* How many of its machine types a record in `room` bytes can name, at least one: the others follow
 * in lines. An older version, which passes over these, takes the job for one that allows fewer. */
size_t tmx_job_types_within(const char *id, const struct tmx_job_spec *spec, double submitted,
                            const struct tmx_job_ids *ids, size_t room);
void tmx_type_print(char *out, size_t cap, const char *id, const char *type);
/* ... of one that is over, cut down to what still counts where `room` asks for it. ended: time of
 * day, s; 0 leaves it out. */
void tmx_job_encode_final(struct tmx_buffer *buffer, const struct tmx_job *job, int fin,
                          double ended, size_t room);
struct tmx_job_record { /* of a job, as it is stored */
  char id[TMX_ID_MAX];
  struct tmx_job_spec spec;
  double submitted_at, ended_at;
  uint64_t outcome, n_awaits; /* n_awaits: all that it names */
  const cbor_item_t *awaits;  /* text: the first of them; NULL: none */
};
bool tmx_job_decode(const cbor_item_t *list, struct tmx_job_record *out);
/* Ids as they stand in a record or a line: without their common prefix, set apart by spaces. */
size_t tmx_job_ids_to_text(char *out, size_t cap, const struct tmx_job_ids *ids, uint32_t *from);
void tmx_dependencies_read(struct tmx_job *job, uint32_t from, const char *text);
/* A line with ids from `*from` on, which moves behind them. */
void tmx_dependency_line_print(char *out, size_t cap, const char *id, const struct tmx_job_ids *ids,
                               uint32_t *from);
bool tmx_task_parse(const char *s, char *job, size_t cap, uint32_t *index);
/* Lines of a page, as the state stands: one machine; a run of tasks of a job from `from` on that
 * are alike (returns how many; 0 bytes printed if they were never placed). */
int tmx_machine_print(char *out, size_t cap, const struct tmx_replica *replica,
                      const struct tmx_machine *machine);
uint32_t tmx_task_run_print(char *out, size_t cap, const struct tmx_job *job, uint32_t from,
                            int *len);
/* A batch's or a page's value: encoded jobs, and lines. */
void tmx_log_value_encode(struct tmx_buffer *buffer, const struct tmx_buffer *jobs, size_t n_jobs,
                          const struct tmx_buffer *list, size_t n);
/* How long a task of the job is expected to run, s: the owner's estimate, as far as it has held for
 * the class of late. */
double tmx_run_estimate_expected(const struct tmx_replica *replica,
                                 const struct tmx_job_spec *spec);
void tmx_run_estimate_observe(struct tmx_replica *replica, const struct tmx_job_spec *spec,
                              double ran);
/* The time at which a batch of this member was last seen; 0: never. */
double tmx_replica_last_batch_at(const struct tmx_replica *replica, const char *node);
void tmx_view_encode(struct tmx_buffer *buffer, const struct tmx_view *view);
#define TMX_OPERATION_PLACE 'p'
#define TMX_OPERATION_STOP 's'
#define TMX_OPERATION_END 'e'
#define TMX_OPERATION_GROUP_PLACE 'P' /* lines of several such operations */
#define TMX_OPERATION_GROUP_END 'E'
/* lines that speak of machines: registered, to be returned or not, gone by proof */
#define TMX_LINE_MACHINE 'm'
#define TMX_LINE_MACHINE_DRAINING 'd'
#define TMX_LINE_MACHINE_REMOVED 'x'
#define TMX_LINE_TASK_RUN 't'     /* of a page: a run of tasks */
#define TMX_LINE_TYPE 'y'         /* of a page: one more machine type that a job allows */
#define TMX_LINE_DEPENDENCIES 'w' /* ids that a job names, from a position on */
/* how an attempt ended */
#define TMX_END_DONE 'd'
#define TMX_END_STOPPED 's'
#define TMX_END_ERROR 'e'
#define TMX_END_REFUSED 'r'
#define TMX_END_LOST 'l'
struct tmx_operation {
  char kind;
  char job[TMX_ID_MAX];
  uint32_t task, attempt;
  char machine[TMX_ID_MAX]; /* place */
  char reason;              /* end: TMX_END_*; stop: '1' at once, '2' after saving */
  uint32_t machine_cap;     /* place, not in the log: tasks of the job that may be on the machine */
};
int tmx_operation_print(char *out, size_t cap, const struct tmx_operation *operation);
/* Lines that tell of several tasks of one job: placements of one attempt, ends of one kind. A line
 * begins with the head of its first operation, and grows by one item an operation. */
bool tmx_operation_can_group(
    const struct tmx_operation *operation); /* is it of a kind that may be told so */
bool tmx_operation_same_group(const struct tmx_operation *left, const struct tmx_operation *right);
int tmx_operation_group_head_print(char *out, size_t cap, const struct tmx_operation *operation);
int tmx_operation_group_item_print(char *out, size_t cap, const struct tmx_operation *operation);
/* Calls f for each operation that the line tells of. */
typedef void (*tmx_operation_cb)(void *arg, const struct tmx_operation *operation);
void tmx_log_line_each_operation(const char *line, tmx_operation_cb callback, void *arg);
bool tmx_operation_parse(const char *s, struct tmx_operation *operation);
size_t tmx_log_line_split(char *line, char **f, size_t max); /* splits it in place; how many */
bool tmx_log_line_parse_u32(const char *s, uint32_t *v);

static inline uint32_t tmx_task_index(const struct tmx_task *task) {
  return (uint32_t)(task - task->job->tasks);
}
#endif
