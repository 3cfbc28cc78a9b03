/* Starts by turn: a class whose work waits gets a first task placed at least every start_s,
 * whatever else the order of the round would serve first. Pure. */
#ifndef TMX_START_ROTATION_H
#define TMX_START_ROTATION_H
#include "admission/backlog.h"

struct tmx_turns {
  double start_s; /* 0: there are no turns */
  /* since a task of the account was last placed, s; TMX_NEVER_S: never */
  double since_start[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX];
};

/* `now`: steady clock, s. backlog NULL: no turns. */
void tmx_turns_fill(struct tmx_turns *turns, const struct tmx_backlog *backlog,
                    const struct tmx_settings *settings, double now);
/* Is a start due in this account, of whose jobs the oldest has waited so long, s. */
bool tmx_turn_due(const struct tmx_turns *turns, size_t team, size_t account, double waited_s);
#endif
