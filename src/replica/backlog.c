#include "replica/backlog.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "replica/job.h"

void tmx_backlog_init(struct tmx_backlog *backlog, const struct tmx_settings *settings) {
  memset(backlog, 0, sizeof *backlog);
  backlog->n_teams = settings->n_teams;
  for (size_t i = 0; i < settings->n_objectives; i++) {
    const char *name = settings->objectives[i].class_name;
    if (!name[0] || tmx_backlog_account_index(backlog, name) < backlog->n_listed) continue;
    memcpy(backlog->listed[backlog->n_listed++], name, TMX_NAME_BYTES);
  }
}

size_t tmx_backlog_account_count(const struct tmx_backlog *backlog) {
  return backlog->n_listed + TMX_HASHED_ACCOUNTS;
}

size_t tmx_backlog_account_index(const struct tmx_backlog *backlog, const char *class_name) {
  for (size_t i = 0; i < backlog->n_listed; i++)
    if (!strcmp(backlog->listed[i], class_name)) return i;
  XXH64_hash_t hash = XXH64(class_name, strlen(class_name), TMX_ACCOUNT_HASH_SEED);
  return backlog->n_listed + (size_t)(hash % TMX_HASHED_ACCOUNTS);
}

/* Submissions may contain arbitrarily large numbers. Each amount is clamped so that no sum
 * overflows. */
static int64_t clamp_amount(double amount) {
  return (int64_t)llround(fmin(fmax(amount, 0), TMX_JOB_LOAD_MAX));
}

struct tmx_load tmx_job_load(const struct tmx_job_spec *spec, uint32_t tasks_left) {
  struct tmx_load load = {{0}};
  if (!tasks_left) return load;
  double run_s =
      spec->service ? TMX_SERVICE_REPLICA_RUN_S : fmax(spec->estimate_s, TMX_RUN_ESTIMATE_MIN_S);
  double task_seconds = tasks_left * run_s;
  load.amount[TMX_ADMISSION_CPU] = clamp_amount(task_seconds * spec->cpus * TMX_MILLI);
  load.amount[TMX_ADMISSION_GPU] = clamp_amount(task_seconds * spec->gpus * TMX_MILLI);
  load.amount[TMX_ADMISSION_MACHINE_MEMORY] =
      clamp_amount(task_seconds * spec->mem_gb * TMX_MB_PER_GB);
  load.amount[TMX_ADMISSION_LOG] = TMX_LOG_JOB_BYTES + (int64_t)tasks_left * TMX_LOG_TASK_BYTES;
  load.amount[TMX_ADMISSION_PUTS] = 1;
  load.amount[TMX_ADMISSION_CONTROLLER_MEMORY] =
      (int64_t)sizeof(struct tmx_job) + (int64_t)spec->tasks * (int64_t)sizeof(struct tmx_task);
  return load;
}

void tmx_load_add(struct tmx_load *sum, const struct tmx_load *load, int sign) {
  for (size_t i = 0; i < TMX_ADMISSION_RESOURCES; i++) sum->amount[i] += sign * load->amount[i];
}

/* Number of tasks that count as backlog. Tasks of a service count until they are placed, tasks of
 * an array until they are done. The result depends only on the log, not on learned run times or
 * clocks, so that all replicas agree. */
static uint32_t count_backlog_tasks(const struct tmx_job *job) {
  if (job->outcome) return 0;
  const uint32_t n_excluded = job->spec.service ? job->n_placed : job->n_done;
  return job->spec.tasks - n_excluded;
}

void tmx_backlog_update(struct tmx_backlog *backlog, struct tmx_job *job) {
  if (job->team < 0) return;
  if (!job->in_account) job->account = (int)tmx_backlog_account_index(backlog, job->spec.class);
  struct tmx_account *account = &backlog->accounts[job->team][job->account];
  const struct tmx_load load = tmx_job_load(&job->spec, count_backlog_tasks(job));
  tmx_load_add(&account->load, &job->remaining_load, -1);
  tmx_load_add(&account->load, &load, 1);
  job->remaining_load = load;
  const bool open = !job->outcome;
  account->n_open_jobs += (uint32_t)open - (uint32_t)job->in_account;
  job->in_account = open;
}
