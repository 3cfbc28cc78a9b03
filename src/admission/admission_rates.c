#include "admission/admission_rates.h"

#include <math.h>

static double guaranteed_cpus(const struct tmx_settings *settings) {
  double sum = 0;
  for (size_t i = 0; i < settings->n_teams; i++) sum += settings->teams[i].cpus;
  return sum;
}

static double guaranteed_gpus(const struct tmx_settings *settings) {
  double sum = 0;
  for (size_t i = 0; i < settings->n_teams; i++) sum += settings->teams[i].gpus;
  return sum;
}

/* Before the first machine is registered, the capacity of a resource may be unknown. Its rate is 0
 * then, so that it limits nothing, while the log and the memory of the controllers still limit
 * admission. The memory of the controllers is not consumed over time: its rate is set such that a
 * backlog of the largest size corresponds to all the memory that jobs may use. */
struct tmx_resource_rates tmx_admission_rates(const struct tmx_settings *settings,
                                              const struct tmx_machine_size *present,
                                              const struct tmx_machine_size *largest) {
  struct tmx_resource_rates rates;
  double expected_cpus =
      fmax(guaranteed_cpus(settings), settings->operators.admission.capacity_cpus);
  double cpus = fmax(present->cpus, expected_cpus);
  double gpus = fmax(present->gpus, guaranteed_gpus(settings));
  double gb_per_cpu = largest->cpus > 0 ? largest->mem_gb / largest->cpus : 0;
  double mem_gb = fmax(present->mem_gb, expected_cpus * gb_per_cpu);
  double puts = settings->write_rps * TMX_BATCH_WRITE_RATE_SHARE;
  double held_bytes = settings->ram_mb * TMX_BYTES_PER_MB * TMX_JOBS_MEMORY_SHARE;
  rates.per_s[TMX_ADMISSION_CPU] = cpus * TMX_MILLI;
  rates.per_s[TMX_ADMISSION_GPU] = gpus * TMX_MILLI;
  rates.per_s[TMX_ADMISSION_MACHINE_MEMORY] = mem_gb * TMX_MB_PER_GB;
  rates.per_s[TMX_ADMISSION_LOG] =
      puts * TMX_LINE_PUTS_SHARE * (double)tmx_value_json_length_max(settings);
  rates.per_s[TMX_ADMISSION_PUTS] = puts * TMX_FINAL_STATE_PUTS_SHARE;
  rates.per_s[TMX_ADMISSION_CONTROLLER_MEMORY] =
      held_bytes / settings->operators.admission.backlog_s;
  return rates;
}

double tmx_load_seconds(const struct tmx_load *load, const struct tmx_resource_rates *rates) {
  double longest = 0;
  for (size_t i = 0; i < TMX_ADMISSION_RESOURCES; i++)
    if (rates->per_s[i] > 0) longest = fmax(longest, (double)load->amount[i] / rates->per_s[i]);
  return longest;
}

double tmx_team_backlog_seconds(const struct tmx_backlog *backlog, size_t team,
                                const struct tmx_resource_rates *rates) {
  struct tmx_load sum = {{0}};
  for (size_t i = 0; i < tmx_backlog_account_count(backlog); i++)
    tmx_load_add(&sum, &backlog->accounts[team][i].load, 1);
  return tmx_load_seconds(&sum, rates);
}

double tmx_total_backlog_seconds(const struct tmx_backlog *backlog,
                                 const struct tmx_resource_rates *rates) {
  double sum = 0;
  for (size_t team = 0; team < backlog->n_teams; team++)
    sum += tmx_team_backlog_seconds(backlog, team, rates);
  return sum;
}
