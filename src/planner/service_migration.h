/**
 * @file
 * Moves services off machines that will be returned to the cloud. Internal to src/planner.
 */
#ifndef TMX_SERVICE_MIGRATION_H
#define TMX_SERVICE_MIGRATION_H
#include "planner/round.h"

/**
 * Stops replicas of services on draining machines, a few at a time. A replica is stopped only if
 * another machine has enough free capacity now and its image is warm there. The capacity is
 * reserved until the round ends. A later round places the next attempt of the replica once the
 * stopped one has ended.
 */
void tmx_migrate_services(struct round *round);

#endif
