/* The replica: every controller's copy of the state keys at one revision. Pure: it is fed
 * with keys and events and does no I/O. */
#ifndef TMX_REPLICA_H
#define TMX_REPLICA_H
#include <stdint.h>
#include <uthash.h>

#include "admission/backlog.h"
#include "config/settings.h"
#include "net/cbor.h"
#include "state/depend.h"

#define TMX_KEYS "t/"
#define TMX_KEY_MAX 200 /* bytes; PROTOCOL's limit */
#define TMX_K_JOB TMX_KEYS "job/"
#define TMX_K_BATCH TMX_KEYS "batch/"
#define TMX_K_PAGE TMX_KEYS "page/"
#define TMX_K_FOLD TMX_KEYS "fold"
#define TMX_K_NODE TMX_KEYS "node/"
#define TMX_K_LEADER TMX_KEYS "leader"
#define TMX_K_VIEW TMX_KEYS "view"
#define TMX_K_HEAD TMX_KEYS "head"

enum tmx_fin { TMX_OPEN, TMX_FIN_DONE, TMX_FIN_CANCELLED };
enum tmx_task_state { TMX_WAITING, TMX_PLACED, TMX_TASK_DONE };
enum { TMX_PRIO_LOW, TMX_PRIO_NORMAL, TMX_PRIO_HIGH, TMX_PRIO_PROD };

struct tmx_spec {
  char class[TMX_NAME_MAX], team[TMX_NAME_MAX], image[TMX_NAME_MAX], zone[TMX_NAME_MAX];
  char types[TMX_TYPES_MAX][TMX_ID_MAX];
  size_t n_types; /* 0: any */
  bool service, one_zone, spread, spot;
  int priority;
  uint32_t tasks;
  double cpus, gpus, mem, image_gb, estimate_s, checkpoint_s, save_s, deadline_s; /* <0: none */
  double patience_s; /* a fetch this long weighs as much as a full machine; from the aims */
  int image_id;      /* set by the replica; 0: none */
};

#define TMX_IMAGES_KEPT 12
struct tmx_image {
  int id;       /* see tmx_image_id */
  double since; /* steady clock, s: when its fetch began; of old, if read at the start */
};

struct tmx_job;
struct tmx_machine;
struct tmx_task {
  struct tmx_job *job;
  struct tmx_machine *machine;  /* while placed */
  struct tmx_task *prev, *next; /* on the machine */
  uint32_t attempt;
  uint8_t state, stop; /* stop: 0 no, 1 at once, 2 after saving */
  float placed_at;     /* s, steady clock of this process, when it was first seen placed */
  float seen_at;       /* s; the worker reported it running; 0: not yet */
  bool ending;         /* its end is in the batch being made */
  /* what the worker's latest report says of this attempt; valid while report equals the worker's */
  uint32_t report;
  uint8_t report_state;
  char report_how;
};
struct tmx_job {
  char id[TMX_ID_MAX];
  uint64_t stamp; /* version of its key, which is written with its final state; 0: none */
  struct tmx_spec spec;
  double submitted; /* time of day, s */
  double released;  /* time of day, s: submitted, or the last job that it needs was done */
  double ended;     /* time of day, s: its final state was written; 0: not known */
  bool stored;      /* its final state is in its own key, rather than derived from another's */
  struct tmx_dependencies deps;
  struct tmx_urgency urgency;
  double loaded_at; /* steady clock, s */
  int fin, team;
  struct tmx_task *tasks;
  uint32_t n_done, n_placed, first_wait;
  uint32_t zone_live[TMX_ZONES_MAX]; /* placed, by zone */
  double fin_after;   /* steady clock, s: its final state was committed after this; 0: not known */
  double stuck_since; /* steady clock, s: tasks wait, and none was placed, since; 0: none waits */
  double asked;       /* CPUs of its tasks that wait, as counted in the replica's */
  struct tmx_load load; /* what is left of it, as counted in its account */
  int account;          /* of its class within the team; valid while charged */
  bool charged, begun;  /* it counts as open in its account; a task of it was seen placed here */
  double answered_at;   /* steady clock, s: a user was last told of it here */
  double longest;       /* s: the longest run of a task that was seen to its end */
  uint32_t fails;       /* errors in a row */
  double retry_at;
  uint32_t n_ending; /* of the batch being made: tasks that end as done */
  int slot;          /* its place in the planner's tables */
  bool dirty, fed;   /* to be told to the planner; it knows the submission */
  /* of the batch being checked */
  uint64_t check;
  uint32_t check_zone[TMX_ZONES_MAX];
  char bad_machine[4][TMX_ID_MAX]; /* where it failed lately */
  unsigned bad_at;
  UT_hash_handle hh;
};
struct tmx_machine {
  char id[TMX_ID_MAX], addr[TMX_NAME_MAX], type[TMX_ID_MAX];
  int zone;                /* index, -1: unknown */
  bool spot, known, drain; /* known: its key exists */
  struct tmx_task *tasks;  /* placed here */
  uint32_t n_tasks;
  uint32_t changes;       /* counts what on_machine was told */
  int owner;              /* member index; -1: no view */
  double cpus, gpus, mem; /* booked */
  double services;        /* of these CPUs, those of services */
  uint32_t errors;        /* failures in a row, and of how many jobs at least */
  char error_job[TMX_ID_MAX];
  bool error_two;
  struct tmx_image images[TMX_IMAGES_KEPT]; /* latest first, as the log tells */
  size_t n_images;
  double size_cpus, size_gpus, size_mem; /* of its type, set by the controller; 0: not known */
  bool usable, dirty;                    /* for the planner, set by the controller */
  int slot;
  struct worker *worker; /* its record in src/worker, which keeps this */
  /* of the batch being checked */
  uint64_t check;
  double check_cpus, check_gpus, check_mem;

  UT_hash_handle hh;
};
struct tmx_member {
  char name[TMX_NAME_MAX];
  uint64_t inc; /* version of its node key: which run of the process */
  int zone;     /* where the settings say it is; -1: not known */
};
struct tmx_exception {
  char machine[TMX_ID_MAX], node[TMX_NAME_MAX];
  UT_hash_handle hh; /* in the view's `taken` */
};
struct tmx_view {
  uint64_t stamp, term;
  struct tmx_member members[TMX_MEMBERS_MAX];
  size_t n_members;
  bool local; /* zones cannot reach each other: machines belong to members of their own */
  struct tmx_exception *exceptions, *taken;
  size_t n_exceptions;
};
struct tmx_log_key { /* a batch key that still stands */
  char *key;
  uint64_t stamp;
  UT_hash_handle hh;
};
struct tmx_class { /* how long its tasks run, against what the owners estimate */
  char name[TMX_NAME_MAX];
  double log_ratio;
  unsigned n;
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
  const struct tmx_settings *set;
  bool loaded;
  uint64_t rev, head, load_until;
  struct tmx_job *jobs;
  struct tmx_machine *machines;
  struct tmx_view view;
  struct tmx_member nodes[TMX_MEMBERS_MAX];
  size_t n_nodes;
  char leader[TMX_NAME_MAX];
  uint64_t leader_stamp, leader_inc;
  struct tmx_log_key *batches, *pages;
  struct tmx_log_key *gone; /* machines gone by proof, the latest ones: late copies of their reports
                               must not bring them back. Names are never used again */
  uint64_t fold_stamp, fold_mark,
      fold_gen;      /* batches up to this version are in the pages of this fold */
  struct tmx_wrote { /* who committed a batch of late: a sign of life */
    char node[TMX_NAME_MAX];
    double at;
  } wrote[TMX_MEMBERS_MAX];
  size_t n_wrote;
  int *slots_m, *slots_j; /* free places, and how many have ever been given */
  size_t n_slots_m, n_slots_j, cap_slots_m, cap_slots_j;
  int top_m, top_j;
  bool pipelines; /* a job that awaits others was seen: records may tell more from now on */
  struct tmx_job **unstored; /* cancelled through others; their own keys do not say so yet */
  size_t n_unstored, cap_unstored;
  struct tmx_class classes[TMX_CLASSES_MAX];
  size_t n_classes;
  struct tmx_image_name *images; /* names are compared once: numbers from here on */
  struct tmx_usage usage[TMX_TEAMS_MAX];
  struct tmx_type_count types[TMX_TYPES_MAX];
  size_t n_types;
  struct tmx_backlog *backlog; /* NULL: no admission */
  double booked, asked;        /* CPUs of all that is placed, and of all that waits */
  double now;                  /* steady clock at the latest event, set by the caller */
  double sure_at; /* ... when a read began of whose revision the copy has all; set by the caller */
  /* told of what changed; may be NULL */
  void *arg;
  void (*on_machine)(void *arg, struct tmx_machine *m); /* its tasks or orders changed */
  void (*on_gone)(void *arg, struct tmx_machine *m);    /* its key was dropped */
  void (*on_change)(void *arg);                         /* something worth a round */
  void (*on_job)(void *arg, struct tmx_job *j);         /* what the planner knows of it changed */
  void (*on_begin)(void *arg, struct tmx_job *j);       /* its first task was placed */
  void (*on_view)(void *arg);                           /* owners may differ */
  void (*on_clear)(void *arg);                          /* all is forgotten: read anew */
};

void tmx_replica_init(struct tmx_replica *r, const struct tmx_settings *s);
void tmx_replica_clear(struct tmx_replica *r);
struct tmx_item { /* for loading: in order of version, then key */
  char *key;
  uint64_t stamp;
  const cbor_item_t *value;
};
/* value NULL: dropped */
void tmx_replica_apply(struct tmx_replica *r, const char *key, uint64_t stamp,
                       const cbor_item_t *value);
void tmx_replica_load(struct tmx_replica *r, struct tmx_item *items, size_t n);
void tmx_replica_reached(struct tmx_replica *r, uint64_t rev); /* all events to rev applied */

/* For src/state/depend.c: a final state that was derived; what the planner knows has changed. */
void tmx_replica_finish(struct tmx_replica *r, struct tmx_job *j, int fin);
void tmx_replica_job_changed(struct tmx_replica *r, struct tmx_job *j);
/* Drops from `unstored` what has been stored meanwhile. */
void tmx_replica_tidy_unstored(struct tmx_replica *r);

struct tmx_job *tmx_job_find(const struct tmx_replica *r, const char *id);
struct tmx_machine *tmx_machine_find(const struct tmx_replica *r, const char *id);
bool tmx_machine_gone(const struct tmx_replica *r, const char *id);
const char *tmx_owner_of(const struct tmx_replica *r, const char *machine); /* NULL: no view */
const char *tmx_planner_of(const struct tmx_replica *r, const char *job);
int tmx_planner_index(const struct tmx_replica *r, const char *job); /* -1: no view */
int tmx_member_index(const struct tmx_replica *r, const char *name); /* -1: none */
const struct tmx_member *tmx_member_find(const struct tmx_replica *r, const char *name);
static inline uint32_t tmx_task_index(const struct tmx_task *t);

/* wire forms */
bool tmx_spec_parse(const cbor_item_t *map, struct tmx_spec *s, char *id, size_t id_cap);
bool tmx_job_id_ok(const char *id);
/* The ids that a submission names, each once; false: malformed. */
bool tmx_awaits_parse(const cbor_item_t *map, struct tmx_awaits *a);
/* A job's record, in the form that every version reads. */
void tmx_job_encode(struct tmx_buffer *buffer, const char *id, const struct tmx_spec *s,
                    double submitted, int fin);
/* ... of one that may name others, with as many of their ids as `room` (bytes as JSON) leaves;
 * returns how many. The rest follows in lines. */
uint32_t tmx_job_encode_open(struct tmx_buffer *buffer, const char *id, const struct tmx_spec *s,
                             double submitted, const struct tmx_awaits *a, size_t room);
/* How many of its machine types a record in `room` bytes can name, at least one: the others follow
 * in lines. An older version, which passes over these, takes the job for one that allows fewer. */
size_t tmx_job_types_within(const char *id, const struct tmx_spec *s, double submitted,
                            const struct tmx_awaits *a, size_t room);
void tmx_type_print(char *out, size_t cap, const char *id, const char *type);
/* ... of one that is over, cut down to what still counts where `room` asks for it. ended: time of
 * day, s; 0 leaves it out. */
void tmx_job_encode_final(struct tmx_buffer *buffer, const struct tmx_job *j, int fin, double ended,
                          size_t room);
struct tmx_job_record { /* of a job, as it is stored */
  char id[TMX_ID_MAX];
  struct tmx_spec spec;
  double submitted, ended;
  uint64_t fin, n_awaits;    /* n_awaits: all that it names */
  const cbor_item_t *awaits; /* text: the first of them; NULL: none */
};
bool tmx_job_decode(const cbor_item_t *list, struct tmx_job_record *out);
/* Ids as they stand in a record or a line: without their common prefix, set apart by spaces. */
size_t tmx_awaits_text(char *out, size_t cap, const struct tmx_awaits *a, uint32_t *from);
void tmx_awaits_read(struct tmx_job *j, uint32_t from, const char *text);
/* A line with ids from `*from` on, which moves behind them. */
void tmx_awaits_print(char *out, size_t cap, const char *id, const struct tmx_awaits *a,
                      uint32_t *from);
bool tmx_task_parse(const char *s, char *job, size_t cap, uint32_t *index);
/* Lines of a page, as the state stands: one machine; a run of tasks of a job from `from` on that
 * are alike (returns how many; 0 bytes printed if they were never placed). */
int tmx_machine_print(char *out, size_t cap, const struct tmx_replica *r,
                      const struct tmx_machine *m);
uint32_t tmx_run_print(char *out, size_t cap, const struct tmx_job *j, uint32_t from, int *len);
/* A batch's or a page's value: encoded jobs, and lines. */
void tmx_lines_encode(struct tmx_buffer *buffer, const struct tmx_buffer *jobs, size_t n_jobs,
                      const struct tmx_buffer *list, size_t n);
/* How long a task of the job is expected to run, s: the owner's estimate, as far as it has held for
 * the class of late. */
double tmx_expected_run(const struct tmx_replica *r, const struct tmx_spec *s);
void tmx_learn_run(struct tmx_replica *r, const struct tmx_spec *s, double ran);
/* The time at which a batch of this member was last seen; 0: never. */
double tmx_replica_wrote(const struct tmx_replica *r, const char *node);
void tmx_view_encode(struct tmx_buffer *buffer, const struct tmx_view *v);
#define TMX_OP_PLACE 'p'
#define TMX_OP_STOP 's'
#define TMX_OP_END 'e'
#define TMX_GROUP_PLACE 'P' /* lines of several such operations */
#define TMX_GROUP_END 'E'
/* lines that speak of machines: registered, to be returned or not, gone by proof */
#define TMX_LINE_MACHINE 'm'
#define TMX_LINE_DRAIN 'd'
#define TMX_LINE_GONE 'x'
#define TMX_LINE_RUN 't'    /* of a page: a run of tasks */
#define TMX_LINE_TYPE 'y'   /* of a page: one more machine type that a job allows */
#define TMX_LINE_AWAITS 'w' /* ids that a job names, from a position on */
/* how an attempt ended */
#define TMX_END_DONE 'd'
#define TMX_END_STOPPED 's'
#define TMX_END_ERROR 'e'
#define TMX_END_REFUSED 'r'
#define TMX_END_LOST 'l'
struct tmx_op {
  char op;
  char job[TMX_ID_MAX];
  uint32_t task, attempt;
  char machine[TMX_ID_MAX]; /* place */
  char how;                 /* end: TMX_END_*; stop: '1' at once, '2' after saving */
  uint32_t cap;             /* place, not in the log: tasks of the job that may be on the machine */
};
int tmx_op_print(char *out, size_t cap, const struct tmx_op *o);
/* Lines that tell of several tasks of one job: placements of one attempt, ends of one kind. A line
 * begins with the head of its first operation, and grows by one item an operation. */
bool tmx_op_groups(const struct tmx_op *o); /* is it of a kind that may be told so */
bool tmx_op_same_group(const struct tmx_op *a, const struct tmx_op *b);
int tmx_group_head_print(char *out, size_t cap, const struct tmx_op *o);
int tmx_group_item_print(char *out, size_t cap, const struct tmx_op *o);
/* Calls f for each operation that the line tells of. */
typedef void (*tmx_each_op)(void *arg, const struct tmx_op *o);
void tmx_ops_each(const char *line, tmx_each_op f, void *arg);
bool tmx_op_parse(const char *s, struct tmx_op *o);
size_t tmx_line_fields(char *line, char **f, size_t max); /* splits it in place; how many */
bool tmx_line_u32(const char *s, uint32_t *v);

static inline uint32_t tmx_task_index(const struct tmx_task *t) {
  return (uint32_t)(t - t->job->tasks);
}
#endif
