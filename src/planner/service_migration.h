/**
 * @file
 * Moving services off machines that are to be returned: internal to src/planner.
 */
#ifndef TMX_SERVICE_MIGRATION_H
#define TMX_SERVICE_MIGRATION_H
#include "planner/round.h"

/**
 * Stops replicas of services on draining machines, a few at a time, and only for room that is free
 * now where their image is warm: the room is held in this round, and the stopped replica is placed
 * as a new attempt once it is gone.
 */
void tmx_migrate_services(struct round *round);

#endif
