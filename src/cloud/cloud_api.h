/**
 * @file
 * The client of the cloud's API. The cloud limits the rate of calls of all controllers together,
 * and the leader makes nearly all of them, so each controller keeps to a token bucket. Loop's
 * thread only.
 */
#ifndef TMX_CLOUD_API_H
#define TMX_CLOUD_API_H
#include <ev.h>
#include <stdbool.h>

#include "config/settings.h"
#include "net/http.h"

/** The client: its token bucket and its connections; opaque. */
struct tmx_cloud_api;

/** Makes the client; the loop and the settings must outlive it. Free it with
 * tmx_cloud_api_free(). */
struct tmx_cloud_api *tmx_cloud_api_new(struct ev_loop *loop, const struct tmx_settings *settings);
/** Calls that are still under way end without a callback. */
void tmx_cloud_api_free(struct tmx_cloud_api *api);

/** Takes a token from the bucket; false: the rate limit forbids a call now. */
bool tmx_cloud_api_take_token(struct tmx_cloud_api *api);

/** Sends a request, for which the caller has taken a token. `body` may be NULL. False: no
 * connection is free, nothing was sent and the callback will not be called. */
bool tmx_cloud_api_call(struct tmx_cloud_api *api, const char *method, const char *path,
                        const struct tmx_buffer *body, tmx_http_response_cb callback, void *arg);
#endif
