/* What the files of a controller's rounds share. A round hands what changed to the planner's
 * thread, which plans on tables of its own; the result is checked line by line on the replica as it
 * then stands and goes out as one batch. All but the planner's thread runs on the loop's thread. */
#ifndef TMX_ROUNDS_INTERNAL_H
#define TMX_ROUNDS_INTERNAL_H
#include <pthread.h>

#include "controller.h"
#include "state/check.h"

/* Where a round is. */
enum tmx_round_step { TMX_ROUND_IDLE, TMX_ROUND_PLANNING, TMX_ROUND_READY };

/* A line for the log that is kept until it is committed. */
struct tmx_pending_line {
  char text[TMX_LINE_MAX];
  bool sent;
};

/* A submission on its way into the log. */
struct tmx_arrival {
  char id[TMX_ID_MAX];
  struct tmx_buffer value; /* the job's record ... */
  struct tmx_job_ids
      awaits;         /* ... and of the ids that it names, those that have no room in it ... */
  uint32_t in_record; /* ... follow from here on */
  size_t json;        /* length of the record as JSON */
  int values;         /* keys that record and lines take; 1: it may go out by itself */
  struct tmx_candidate candidate; /* what admission judges */
  double until;
  tmx_arrival_cb cb;
  void *arg;
  struct tmx_rounds *p;
  bool sent; /* in the batch under way */
  bool direct;
  bool answered; /* but its commit is under way */
  double sent_at;
  int tries;
};

struct tmx_rounds {
  struct tmx_ctl *c;
  ev_timer timer;
  enum tmx_round_step step;
  bool sending; /* a batch is under way */
  struct tmx_arrival *arrivals[TMX_ARRIVALS_MAX];
  size_t n_arrivals;
  double round_at, wait_rev_at;
  double puts;        /* that the next batch needs at least */
  uint64_t wait_rev;  /* the next step needs the replica to be here */
  uint64_t sent_head; /* what the batch under way is conditional on */
  int resent;
  uint64_t key_seq, key_mark;
  /* what changed since the last feed */
  struct tmx_feed feed;
  struct tmx_machine **machines;
  size_t n_machines, cap_machines;
  struct tmx_job **jobs;
  size_t n_jobs, cap_jobs;
  struct tmx_operation ends[TMX_ENDS_ROUND];
  size_t n_ends;
  struct tmx_plan_output plan;
  struct tmx_pending_line *lines;
  size_t n_lines, cap_lines;
  /* the planner's thread; under the lock: in, out, ready, quit */
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t more;
  struct tmx_feed in_feed;
  struct tmx_round in_round;
  struct tmx_plan_output out;
  bool asked, ready, quit;
  ev_async done;
};

/* The task that an operation speaks of; NULL: not known. */
struct tmx_task *tmx_round_task(const struct tmx_replica *replica,
                                const struct tmx_operation *operation);
/* Of the time of day, for one batch: s. */
double tmx_turn_length(const struct tmx_ctl *c);
/* Does the replica hold the latest revision that a commit told of: the next step needs it. */
bool tmx_rounds_caught_up(const struct tmx_rounds *p);
/* Gives up what was planned; the next round begins anew. */
void tmx_round_over(struct tmx_rounds *p);

/* feed.c: fills the feed and the round from what changed. */
void tmx_round_feed(struct tmx_rounds *p, struct tmx_round *in);

/* submissions.c */
struct tmx_batch;
void tmx_submissions_add(struct tmx_rounds *p, struct tmx_batch *b);
void tmx_submissions_answer(struct tmx_rounds *p, int res);
void tmx_submission_free(struct tmx_arrival *a);

/* commit.c: checks what was planned and sends it. */
void tmx_round_commit(struct tmx_rounds *p);
#endif
