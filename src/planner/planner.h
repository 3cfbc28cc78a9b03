/* The greedy round: pure. The planner keeps its own tables of machines and jobs, fed with what
 * changed since the last round; a round works on them and takes its own steps back at its end,
 * since only what is committed comes back in the next feed. */
#ifndef TMX_PLANNER_H
#define TMX_PLANNER_H
#include "admission/start_rotation.h"
#include "replica/placement_caps.h"
#include "replica/replica.h"

struct tmx_plan_task { /* placed on a machine */
  int job;             /* slot */
  uint32_t task, attempt;
  double lost_since; /* stopping it loses the work since then; see spec for those that save */
  bool stopping;
};
struct tmx_plan_machine { /* one machine as it stands, by its slot */
  int slot;
  char id[TMX_ID_MAX], type[TMX_ID_MAX];
  int zone;
  bool spot, usable;         /* usable: heard and reached lately, not faulty, no notice */
  bool draining;             /* to be returned: its services move */
  int owner;                 /* member index */
  double cpus, gpus, mem_gb; /* its size */
  double booked_cpus, booked_gpus, booked_mem_gb;          /* booked */
  double releasing_cpus, releasing_gpus, releasing_mem_gb; /* of that, being stopped: free soon */
  double fetch_gb_per_s;                                   /* GB/s */
  struct tmx_image images[TMX_IMAGES_KEPT];
  size_t n_images;
  struct tmx_plan_task *tasks; /* taken over by the planner */
  size_t n_tasks;
};
struct tmx_plan_waiting_task {
  uint32_t task, attempt; /* the attempt to be made */
};
struct tmx_plan_job { /* one job as it stands, by its slot */
  int slot;
  char id[TMX_ID_MAX];
  struct tmx_job_spec *spec; /* taken over; NULL: as before */
  int team, planner;         /* index among the teams; member index */
  int account;               /* of its class within the team, see src/admission */
  int priority;              /* its own, or that of a job that needs it */
  int zone;                  /* the only one allowed; -1: any */
  double released_at;     /* time of day, s: it could have begun since; its waits count from here */
  double unplaced_since;  /* steady clock, s: no task of it was placed since; 0: none waits */
  double retry_at;        /* steady clock, s: not before */
  double target_s, run_s; /* when it should be done, from its release; how long a task should run */
  double next_target_s;   /* the first of its aims that is still ahead; as aim_s if none is */
  uint32_t n_done, n_placed;
  bool open;                             /* else only its placed tasks count */
  struct tmx_plan_waiting_task *waiting; /* the first of those that wait; taken over */
  size_t n_waiting;
  uint32_t placed_in_zone[TMX_ZONES_MAX];
  char failed_machines[4][TMX_ID_MAX];
};
struct tmx_planner_delta { /* what changed, the latest state of each; gone ones first */
  bool reset;
  int *removed;
  size_t n_removed, cap_removed;
  struct tmx_plan_machine *machines;
  size_t n_machines, cap_machines;
  struct tmx_plan_job *jobs;
  size_t n_jobs, cap_jobs;
};
struct tmx_round_input { /* what else a round depends on */
  double now_steady, now_wall;
  int self_member; /* member index */
  bool leading;
  size_t n_zones;
  double own_planner_grace_s; /* s: a job's own controller goes first this long */
  struct tmx_usage usage[TMX_TEAMS_MAX];
  struct tmx_team_settings teams[TMX_TEAMS_MAX];
  size_t n_teams, max_operations;
  size_t max_visits; /* machines and tasks looked at */
  struct tmx_turns turns;
};
struct tmx_round_output {
  struct tmx_operation *operations;
  size_t n_operations, cap_operations;
  uint32_t unplaced; /* tasks that found no room, or were not looked at */
  bool truncated;    /* the round's bound was reached: the next one is due at once */
  size_t visits;     /* machines and tasks looked at */
};

struct tmx_planner;
struct tmx_planner *tmx_planner_new(void);
void tmx_planner_free(struct tmx_planner *planner);
void tmx_planner_apply(struct tmx_planner *planner,
                       struct tmx_planner_delta *delta); /* empties the feed */
void tmx_planner_delta_clear(struct tmx_planner_delta *delta);
struct tmx_plan_machine *tmx_planner_delta_machine(
    struct tmx_planner_delta *delta); /* a zeroed record to be filled */
struct tmx_plan_job *tmx_planner_delta_job(struct tmx_planner_delta *delta);
void tmx_planner_delta_removed(struct tmx_planner_delta *delta, int slot);
void tmx_planner_run_round(struct tmx_planner *planner, const struct tmx_round_input *input,
                           struct tmx_round_output *output);

double tmx_booked_share(const struct tmx_plan_machine *machine, const struct tmx_job_spec *spec,
                        double now);
#endif
