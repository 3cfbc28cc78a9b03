/* The greedy round: pure functions over a copy of what the round needs. */
#ifndef TMX_PLAN_H
#define TMX_PLAN_H
#include "state/replica.h"

struct tmx_plan_machine {
  char id[TMX_ID_MAX], type[TMX_ID_MAX];
  int zone;
  bool spot, usable;         /* usable: heard lately, not draining, not faulty, no notice */
  bool drain;                /* to be returned: its services move */
  int owner;                 /* member index */
  double cpus, gpus, mem;    /* its size */
  double ucpus, ugpus, umem; /* booked */
  double scpus, sgpus, smem; /* of that, being stopped: free soon */
  double fetch;              /* GB/s */
  double now;                /* of the clock that images' `since` is on */
  struct tmx_image images[TMX_IMAGES_KEPT];
  size_t n_images;
};
struct tmx_plan_running { /* a placed task, for stopping */
  int machine, job;
  uint32_t task, attempt;
  double lost; /* s of work that stopping it loses */
  bool stopping;
};
struct tmx_plan_wait {
  uint32_t task, attempt; /* the attempt to be made */
};
struct tmx_plan_job {
  char id[TMX_ID_MAX];
  const struct tmx_spec *spec; /* owned by the input */
  int team, planner;           /* member index */
  double waited;               /* s since it was seen here */
  double order;                /* lower first, within its rank */
  bool guaranteed;             /* fits its team's guarantee with the team's earlier jobs */
  struct tmx_plan_wait *waits;
  size_t n_waits;
  int *live; /* machine index of each placed task; -1: a machine not known here */
  size_t n_live;
  uint32_t zone_live[TMX_ZONES_MAX];
  char avoid[4][TMX_ID_MAX];
};
struct tmx_plan_input {
  uint64_t head, rev;
  int self;
  bool leading;
  size_t n_zones;
  double grace;
  struct tmx_plan_machine *machines;
  size_t n_machines;
  struct tmx_plan_job *jobs;
  size_t n_jobs;
  struct tmx_plan_running *running;
  size_t n_running;
  struct tmx_usage usage[TMX_TEAMS_MAX];
  struct tmx_team_conf teams[TMX_TEAMS_MAX];
  size_t n_teams, max_ops;
};
struct tmx_plan_output {
  uint64_t head, rev;
  struct tmx_op *ops;
  size_t n_ops, cap;
  /* what found no room, for renting: the jobs' waiting tasks */
  uint32_t unplaced;
};
void tmx_plan(struct tmx_plan_input *in, struct tmx_plan_output *out);
void tmx_plan_input_free(struct tmx_plan_input *in);

/* the caps, apart for the tests */
uint32_t tmx_zone_cap(const struct tmx_spec *s, size_t zones);
uint32_t tmx_machine_cap(const struct tmx_spec *s, uint32_t eligible);
/* may this kind of machine ever run the job */
bool tmx_type_allowed(const struct tmx_spec *s, const char *type);
double tmx_booked_measure(const struct tmx_plan_machine *m, const struct tmx_spec *s);
#endif
