/**
 * @file
 * A request to the cloud to delete at most TMX_DELETION_REQUEST_MACHINES_MAX machines. Loop's
 * thread only.
 */
#ifndef TMX_DELETION_REQUEST_H
#define TMX_DELETION_REQUEST_H
#include "cloud/cloud_internal.h"
#include "cloud/replacement_policy.h"

/** The request. It lives until its response is handled, or until it cannot be sent. */
struct tmx_deletion_request {
  struct tmx_cloud *cloud; /**< the module that sends the request; outlives it */
  char ids[TMX_DELETION_REQUEST_MACHINES_MAX][TMX_ID_BYTES]; /**< instances to delete */
  size_t count;                                              /**< entries of `ids` in use */
};

/** Allocates an empty request. tmx_deletion_request_send() takes ownership of it. */
struct tmx_deletion_request *tmx_deletion_request_new(struct tmx_cloud *cloud);
/** Returns whether the request holds as many machines as one request may. */
bool tmx_deletion_request_is_full(const struct tmx_deletion_request *request);
/** Adds a machine and logs the reason. The request must not be full. */
void tmx_deletion_request_add(struct tmx_deletion_request *request, const char *id,
                              enum tmx_deletion_reason reason);
/** Sends the request if it names any machine and the rate limit allows it. Frees the request when
 * the response arrives or the request fails, or immediately if it cannot be sent. */
void tmx_deletion_request_send(struct tmx_deletion_request *request);
#endif
