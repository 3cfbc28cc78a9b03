/**
 * @file
 * The users' API: submissions, polls and cancellations of jobs over HTTP. All functions must be
 * called on the event loop's thread.
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

/** The users' API of one controller. */
struct tmx_user_api;

/** Dependencies of the module; all of them must outlive it. */
struct tmx_user_api_dependencies {
  const struct tmx_settings *settings;       /**< teams, zones and limits */
  struct tmx_replica *replica;               /**< the jobs in the log */
  struct tmx_store *store;                   /**< linearizable reads; commits cancellations */
  const struct tmx_machine_catalog *catalog; /**< machine types that jobs can run on */
  struct tmx_admission_control *admission;   /**< NULL: every job that can run is admitted */
  struct tmx_scheduler *scheduler;           /**< commits submissions */
};

/** Creates the API, which the caller frees with tmx_user_api_free(). Never returns NULL. */
struct tmx_user_api *tmx_user_api_new(const struct tmx_user_api_dependencies *dependencies);
/** Frees the API. The store and the scheduler must not call back for its requests afterwards. */
void tmx_user_api_free(struct tmx_user_api *api);
/** Handles a request and answers it exactly once, immediately or later. Returns false, without an
 * answer, if the path does not belong to the users' API. */
bool tmx_user_api_handle(struct tmx_user_api *api, struct tmx_http_request *request);
#endif
