/**
 * @file
 * The users' interface: submissions, polls and cancellations. Loop's thread only.
 */
#ifndef TMX_USER_API_H
#define TMX_USER_API_H
#include "admission/admission_control.h"
#include "catalog/machine_catalog.h"
#include "config/settings.h"
#include "net/http.h"
#include "replica/replica.h"
#include "scheduler/scheduler.h"
#include "store/store.h"

/** The users' interface of one controller. */
struct tmx_users;

/** What the module works on; all of it must outlive it. */
struct tmx_users_dependencies {
  const struct tmx_settings *settings;       /**< teams, zones and limits */
  struct tmx_replica *replica;               /**< the jobs that are known */
  struct tmx_store *store;                   /**< reads the state anew and commits cancellations */
  const struct tmx_machine_catalog *catalog; /**< machine types that jobs may need */
  struct tmx_admission_control *admission;   /**< NULL: everything that can run is admitted */
  struct tmx_scheduler *scheduler;           /**< takes the submissions that are to be committed */
};

/** Makes the interface; the caller frees it with tmx_users_free. Never NULL. */
struct tmx_users *tmx_users_new(const struct tmx_users_dependencies *dependencies);
/** Frees the interface. No callback of the store or of the scheduler may come for it after this. */
void tmx_users_free(struct tmx_users *users);
/** Answers the request now or later, once; false: the path is not one of users. */
bool tmx_users_handle(struct tmx_users *users, struct tmx_http_request *request);
#endif
