/** What the files of the users share. */
#ifndef CLUSTER_USERS_INTERNAL_H
#define CLUSTER_USERS_INTERNAL_H
#include "cluster/users.h"

enum { KINDS_MAX = 8 };

/** A job as its user knows it. */
struct job {
  char id[TMX_ID_BYTES];
  const struct job_kind *kind;
  double first_at, sent_at, next_request_at; /**< first attempt; latest request; next one */
  double began_at;                           /**< its first task began; 0: not yet */
  bool accepted, done, given_up, busy, answered_finally;
};

/** What has happened to the jobs of a kind. */
struct kind_state {
  unsigned submitted, refusals;
  double due;           /**< jobs to be submitted, a fraction */
  double last_start;    /**< of a task */
  double longest_gap;   /**< s without a start while an accepted job had not begun */
  double waiting_since; /**< 0: no accepted job waits for its first task */
};

/** The users and their jobs; a job's number in its id is its index. */
struct users {
  const struct job_kind *kinds;
  struct kind_state states[KINDS_MAX]; /**< by kind */
  struct job **jobs;
  size_t n_jobs;
};
extern struct users users;

#endif
