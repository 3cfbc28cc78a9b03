/** @file Data that the source files of the users share. */
#ifndef CLUSTER_USERS_INTERNAL_H
#define CLUSTER_USERS_INTERNAL_H
#include "cluster/users.h"

enum { KINDS_MAX = 8 };

/** A job and the state of its requests. */
struct job {
  char id[TMX_ID_BYTES];
  const struct job_kind *kind;
  double first_at;        /**< time of the first submission attempt, steady clock, s */
  double sent_at;         /**< time of the latest submission attempt */
  double next_request_at; /**< earliest time of the next request */
  double started_at;      /**< start of its first task; 0: none started yet */
  bool accepted, done, given_up, busy, final_poll_answered;
};

/** Counts and times of the jobs of a kind. */
struct kind_state {
  unsigned submitted, refusals;
  double due;           /**< number of jobs due for submission, with the fraction of the next one */
  double last_start;    /**< time of the latest start of a task */
  double longest_gap;   /**< longest time without a start while an accepted job waited, s */
  double waiting_since; /**< time since which accepted jobs wait for a first task; 0: none does */
};

/** The users and their jobs. The number in a job's id is its index in `jobs`. */
struct users {
  const struct job_kind *kinds;
  struct kind_state states[KINDS_MAX]; /**< by kind */
  struct job **jobs;
  size_t n_jobs;
};
extern struct users users;

#endif
