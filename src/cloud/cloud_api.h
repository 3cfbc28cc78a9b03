/**
 * @file
 * The client of the cloud's API. The cloud limits the request rate of all controllers together.
 * Each controller limits its own rate with a token bucket; the leader sends nearly all requests.
 * Loop's thread only.
 */
#ifndef TMX_CLOUD_API_H
#define TMX_CLOUD_API_H
#include <ev.h>
#include <stdbool.h>

#include "config/settings.h"
#include "net/http.h"

/** The client, with its token bucket and its connections; opaque. */
struct tmx_cloud_api;

/** Creates the client. The loop and the settings must outlive it. Free it with
 * tmx_cloud_api_free(). */
struct tmx_cloud_api *tmx_cloud_api_new(struct ev_loop *loop, const struct tmx_settings *settings);
/** Frees the client. The callbacks of requests in flight are not called. */
void tmx_cloud_api_free(struct tmx_cloud_api *api);

/** Takes a token from the bucket. Returns false if the rate limit allows no request now. */
bool tmx_cloud_api_take_token(struct tmx_cloud_api *api);

/** Sends a request. The caller must have taken a token for it. `body` may be NULL. Returns false if
 * no connection is free: nothing is sent then, and the callback is not called. */
bool tmx_cloud_api_call(struct tmx_cloud_api *api, const char *method, const char *path,
                        const struct tmx_buffer *body, tmx_http_response_cb callback, void *arg);
#endif
