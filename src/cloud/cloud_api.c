#include "cloud/cloud_api.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "tmx/constants.h"

enum { CONNECTIONS_MAX = 8 };

/* Refill rate of one controller's token bucket, as a share of the cloud's rate limit. The rest is
 * left to the other controllers, as the limit applies to all of them together. */
static const double REFILL_SHARE = 0.6;

struct tmx_cloud_api {
  const struct tmx_settings *settings;
  struct tmx_http_client *http;
  double tokens;      /* requests that may be sent now; at most cloud_rps */
  double refilled_at; /* steady clock, s */
};

struct tmx_cloud_api *tmx_cloud_api_new(struct ev_loop *loop, const struct tmx_settings *settings) {
  struct tmx_cloud_api *api = tmx_allocate(1, sizeof *api);
  api->settings = settings;
  api->http = tmx_http_client_new(loop, settings->cloud_address, CONNECTIONS_MAX);
  api->refilled_at = tmx_clock_steady();
  return api;
}

void tmx_cloud_api_free(struct tmx_cloud_api *api) {
  if (api->http) tmx_http_client_free(api->http);
  free(api);
}

bool tmx_cloud_api_take_token(struct tmx_cloud_api *api) {
  double now = tmx_clock_steady();
  api->tokens += (now - api->refilled_at) * api->settings->cloud_rps * REFILL_SHARE;
  api->refilled_at = now;
  if (api->tokens > api->settings->cloud_rps) api->tokens = api->settings->cloud_rps;
  if (api->tokens < 1) return false;
  api->tokens -= 1;
  return true;
}

bool tmx_cloud_api_call(struct tmx_cloud_api *api, const char *method, const char *path,
                        const struct tmx_buffer *body, tmx_http_response_cb callback, void *arg) {
  return tmx_http_client_call(api->http, method, path, body, TMX_CLOUD_TIMEOUT_S, callback, arg);
}
