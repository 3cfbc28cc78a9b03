/**
 * @file
 * Rotation of starts: a class whose work waits gets a first task placed at least every start_s,
 * whatever else the order of the round would serve first.
 * Pure functions.
 */
#ifndef TMX_START_ROTATION_H
#define TMX_START_ROTATION_H
#include "replica/backlog.h"

/** How long each account has gone without a start. */
struct tmx_turns {
  double start_s; /**< 0: there is no rotation */
  /** Since a task of the account was last placed, s; TMX_NEVER_S: never. */
  double since_start[TMX_TEAMS_MAX][TMX_ACCOUNTS_MAX];
};

/** `now`: steady clock, s. backlog NULL: no rotation. */
void tmx_turns_fill(struct tmx_turns *turns, const struct tmx_backlog *backlog,
                    const struct tmx_settings *settings, double now);
/** Whether a start is due in this account, of whose jobs the oldest has waited `waited_s`. */
bool tmx_turn_due(const struct tmx_turns *turns, size_t team, size_t account, double waited_s);
#endif
