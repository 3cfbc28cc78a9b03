#include "admission/admission_control.h"

#include <math.h>
#include <stdlib.h>

#include "admission/admission_internal.h"
#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"

struct tmx_admission_control *tmx_admission_control_new(const struct tmx_settings *settings,
                                                        struct tmx_replica *replica,
                                                        const struct tmx_machine_catalog *catalog) {
  if (!settings->operators.admission.enabled) return NULL;
  struct tmx_admission_control *admission = tmx_allocate(1, sizeof *admission);
  admission->settings = settings;
  admission->replica = replica;
  admission->catalog = catalog;
  admission->statistics = tmx_admission_statistics_new();
  admission->accounts_logged_at = tmx_clock_steady();
  tmx_backlog_init(&admission->backlog, settings);
  tmx_backlog_init(&admission->in_flight, settings);
  replica->backlog = &admission->backlog;
  return admission;
}

void tmx_admission_control_free(struct tmx_admission_control *admission) {
  if (!admission) return;
  tmx_admission_statistics_free(admission->statistics);
  free(admission);
}

static struct tmx_machine_size present_machines(const struct tmx_admission_control *admission) {
  struct tmx_machine_size sum = {0};
  for (size_t i = 0; i < admission->replica->n_type_counts; i++) {
    const struct tmx_type_count *count = &admission->replica->type_counts[i];
    const struct tmx_machine_type *type = tmx_machine_catalog_find(admission->catalog, count->type);
    if (!type) continue;
    sum.cpus += count->machines * type->cpus;
    sum.gpus += count->machines * type->gpus;
    sum.mem_gb += count->machines * type->mem_gb;
  }
  return sum;
}

static struct tmx_machine_size largest_machine(const struct tmx_admission_control *admission) {
  struct tmx_machine_size largest = {0};
  const struct tmx_machine_type *types = admission->catalog->types;
  for (size_t i = 0; i < admission->catalog->n_types; i++) {
    largest.cpus = fmax(largest.cpus, types[i].cpus);
    largest.gpus = fmax(largest.gpus, types[i].gpus);
    largest.mem_gb = fmax(largest.mem_gb, types[i].mem_gb);
  }
  return largest;
}

struct tmx_resource_rates tmx_admission_control_rates(
    const struct tmx_admission_control *admission) {
  struct tmx_machine_size present = present_machines(admission),
                          largest = largest_machine(admission);
  return tmx_admission_rates(admission->settings, &present, &largest);
}

struct tmx_admission_request tmx_admission_control_request(
    const struct tmx_admission_control *admission, const struct tmx_job_spec *spec, int team) {
  struct tmx_admission_request request = {.team = team};
  if (!admission || team < 0) return request;
  request.account = tmx_backlog_account_index(&admission->backlog, spec->class);
  request.load = tmx_job_load(spec, spec->tasks);
  return request;
}

static bool has_open_job(const struct tmx_replica *replica,
                         const struct tmx_job_ids *dependencies) {
  for (uint32_t i = 0; i < dependencies->count; i++) {
    const struct tmx_job *job = tmx_job_find(replica, dependencies->ids[i]);
    if (job && !job->outcome) return true;
  }
  return false;
}

struct tmx_admission_decision tmx_admission_control_decide(
    const struct tmx_admission_control *admission, struct tmx_admission_request *request,
    const struct tmx_job_ids *dependencies) {
  if (!admission || request->team < 0)
    return (struct tmx_admission_decision){.result = TMX_ADMITTED};
  struct tmx_resource_rates rates = tmx_admission_control_rates(admission);
  request->has_open_dependencies = has_open_job(admission->replica, dependencies);
  return tmx_admission_decide(admission->settings, &admission->backlog, &admission->in_flight,
                              &rates, request);
}

bool tmx_admission_control_may_commit_alone(const struct tmx_admission_control *admission,
                                            struct tmx_admission_request *request,
                                            const struct tmx_job_ids *dependencies) {
  if (!admission || request->team < 0) return true;
  struct tmx_admission_decision decision =
      tmx_admission_control_decide(admission, request, dependencies);
  if (decision.result != TMX_ADMITTED) return false;
  if (decision.backlog_s > TMX_SINGLE_SUBMISSION_CEILING_SHARE * decision.ceiling_s) return false;
  struct tmx_resource_rates rates = tmx_admission_control_rates(admission);
  double bound = admission->settings->operators.admission.backlog_s;
  return tmx_load_seconds(&request->load, &rates) <= TMX_SINGLE_SUBMISSION_BACKLOG_SHARE * bound;
}

static void add_in_flight(struct tmx_admission_control *admission,
                          const struct tmx_admission_request *request, int sign) {
  if (!admission || request->team < 0) return;
  struct tmx_account *account = &admission->in_flight.accounts[request->team][request->account];
  tmx_load_add(&account->load, &request->load, sign);
  account->n_open_jobs += (uint32_t)sign;
}

void tmx_admission_control_reserve(struct tmx_admission_control *admission,
                                   const struct tmx_admission_request *request) {
  add_in_flight(admission, request, 1);
}

void tmx_admission_control_release(struct tmx_admission_control *admission,
                                   const struct tmx_admission_request *request) {
  add_in_flight(admission, request, -1);
}

int tmx_admission_control_retry_after(const struct tmx_admission_decision *decision) {
  double wait = tmx_admission_retry_s(decision);
  int max_jitter = (int)ceil(wait * TMX_ADMISSION_RETRY_JITTER_SHARE);
  return (int)wait + tmx_random_below(max_jitter + 1);
}

void tmx_admission_control_job_started(struct tmx_admission_control *admission,
                                       const struct tmx_job *job) {
  if (!admission || job->team < 0 || !job->in_account) return;
  tmx_admission_statistics_record_start(admission->statistics, (size_t)job->team,
                                        (size_t)job->account, tmx_clock_wall() - job->released_at);
}

void tmx_admission_control_count_answer(struct tmx_admission_control *admission,
                                        const struct tmx_admission_request *request,
                                        enum tmx_admission_result result) {
  if (!admission || request->team < 0) return;
  tmx_admission_statistics_count_result(admission->statistics, (size_t)request->team,
                                        request->account, result);
}
