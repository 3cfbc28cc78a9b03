#include "worker/traffic.h"

#include "base/log.h"
#include "worker/fencing.h"

void tmx_worker_log_commands(const struct tmx_worker *worker, const struct tmx_command_list *list,
                             const char *kind) {
  if (!list->count || !tmx_log_enabled(TMX_LOG_DEBUG)) return;
  uint64_t token = tmx_worker_token(worker);
  tmx_log(TMX_LOG_DEBUG,
          "worker: %s: %s with %zu starts, %zu stops, %zu forgets; token %llu.%llu, session %llu",
          worker->id, kind, list->n_starts, list->count - list->n_starts - list->n_forgets,
          list->n_forgets, (unsigned long long)(token >> TMX_TOKEN_SEQUENCE_BITS),
          (unsigned long long)(token & TMX_TOKEN_SEQUENCE_MAX),
          (unsigned long long)worker->report.session);
}

void tmx_workers_log_traffic(struct tmx_workers *workers, double now) {
  struct tmx_worker_traffic *traffic = &workers->traffic;
  double elapsed_s = now - traffic->logged_at;
  if (elapsed_s < TMX_TRAFFIC_LOG_PERIOD_S) return;
  if (traffic->logged_at)
    tmx_log(TMX_LOG_INFO,
            "workers: %llu heartbeats received, %llu command requests sent, %llu tokens raised in "
            "%.1f s",
            (unsigned long long)traffic->heartbeats, (unsigned long long)traffic->direct_commands,
            (unsigned long long)traffic->raised_tokens, elapsed_s);
  *traffic = (struct tmx_worker_traffic){.logged_at = now};
}
