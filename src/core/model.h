/* The planner's tables, shared by the files of the round only. */
#ifndef TMX_MODEL_H
#define TMX_MODEL_H
#include "core/plan.h"

struct saved { /* of a machine, before the round's own steps */
  double ucpus, ugpus, umem, scpus, sgpus, smem;
  size_t n_tasks;
};
struct pm {
  struct tmx_plan_machine r;
  size_t cap_tasks;
  int group; /* -1: not known enough to place on */
  size_t at; /* in the group */
  uint64_t touched;
  struct saved saved;
};
struct pj {
  struct tmx_plan_job r;
  double order;  /* of this round */
  uint32_t turn; /* jobs of its account that have waited longer than this one */
  bool guaranteed, listed;
  size_t next_wait;
  uint64_t touched;
  uint32_t saved_zone[TMX_ZONES_MAX];
};
struct group { /* machines of one type, zone and kind */
  char type[TMX_ID_MAX];
  int zone;
  bool spot;
  double cpus, gpus, mem;
  int *slots;
  size_t n, cap;
  uint32_t n_usable;
};
struct tmx_model {
  struct pm **m;
  size_t cap_m;
  struct pj **j;
  size_t cap_j;
  struct group *groups;
  size_t n_groups, cap_groups;
  struct pj **open; /* jobs that are not over, in no order */
  size_t n_open, cap_open;
  uint64_t round;
  double lane_credit; /* array tasks that overdue jobs may place first */
  /* slots of the jobs where the round before was cut for what it had looked at, one a part of the
   * order; -1: none */
  int cut_services, cut_oldest, cut_arrays;
};
#endif
