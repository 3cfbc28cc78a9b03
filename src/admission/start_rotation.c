#include "admission/start_rotation.h"

#include <math.h>
#include <string.h>

void tmx_turns_fill(struct tmx_turns *turns, const struct tmx_backlog *backlog,
                    const struct tmx_settings *settings, double now) {
  turns->start_s = backlog ? settings->operators.admission.start_s : 0;
  if (!backlog) return;
  size_t accounts = tmx_backlog_account_count(backlog);
  for (size_t team = 0; team < backlog->n_teams; team++)
    for (size_t i = 0; i < accounts; i++) {
      double started_at = backlog->accounts[team][i].last_start_at;
      turns->since_start[team][i] = started_at > 0 ? now - started_at : TMX_NEVER_S;
    }
}

bool tmx_turn_due(const struct tmx_turns *turns, size_t team, size_t account, double waited_s) {
  if (turns->start_s <= 0) return false;
  return fmin(turns->since_start[team][account], waited_s) >= turns->start_s;
}
