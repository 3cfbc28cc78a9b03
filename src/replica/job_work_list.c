#include "replica/job_work_list.h"

#include "base/memory.h"

void tmx_job_work_list_push(struct tmx_job_work_list *list, struct tmx_job *job) {
  if (job->dependencies.in_work_list) return;
  job->dependencies.in_work_list = true;
  list->jobs = tmx_grow(list->jobs, &list->capacity, list->n + 1, sizeof *list->jobs);
  list->jobs[list->n++] = job;
}

struct tmx_job *tmx_job_work_list_pop(struct tmx_job_work_list *list) {
  struct tmx_job *job = list->jobs[--list->n];
  job->dependencies.in_work_list = false;
  return job;
}
