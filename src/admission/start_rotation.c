#include "admission/start_rotation.h"

#include <math.h>
#include <string.h>

void tmx_start_rotation_fill(struct tmx_start_rotation *rotation, const struct tmx_backlog *backlog,
                             const struct tmx_settings *settings, double now) {
  rotation->start_s = backlog ? settings->operators.admission.start_s : 0;
  if (!backlog) return;
  size_t accounts = tmx_backlog_account_count(backlog);
  for (size_t team = 0; team < backlog->n_teams; team++)
    for (size_t i = 0; i < accounts; i++) {
      double last_start_at = backlog->accounts[team][i].last_start_at;
      rotation->since_start_s[team][i] = last_start_at > 0 ? now - last_start_at : TMX_NEVER_S;
    }
}

bool tmx_start_rotation_is_due(const struct tmx_start_rotation *rotation, size_t team,
                               size_t account, double waited_s) {
  if (rotation->start_s <= 0) return false;
  return fmin(rotation->since_start_s[team][account], waited_s) >= rotation->start_s;
}
