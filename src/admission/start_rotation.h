/**
 * @file
 * Rotation of starts: a class with waiting jobs gets the first task of one of them placed at least
 * every start_s, whichever jobs come first in the order of the round. Pure functions.
 */
#ifndef TMX_START_ROTATION_H
#define TMX_START_ROTATION_H
#include "replica/backlog.h"

/** The time since the last start of each account. */
struct tmx_start_rotation {
  double start_s; /**< seconds without a start until one is due; 0: no rotation */
  /** Seconds since a task of the account was last placed; TMX_NEVER_S: never. */
  double since_start_s[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX];
};

/** Initializes the rotation from the backlog; NULL: no rotation. `now` is the steady clock in s. */
void tmx_start_rotation_fill(struct tmx_start_rotation *rotation, const struct tmx_backlog *backlog,
                             const struct tmx_settings *settings, double now);
/** Returns whether a start is due in an account whose oldest waiting job has waited `waited_s`. */
bool tmx_start_rotation_is_due(const struct tmx_start_rotation *rotation, size_t team,
                               size_t account, double waited_s);
#endif
