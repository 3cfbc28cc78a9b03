/* Routes HTTP requests to the users' API and the workers module, and answers health checks. */
#include <http_parser.h>
#include <string.h>

#include "base/clock.h"
#include "controller/controller_internal.h"
#include "tmx/wire.h"

/* Returns whether the load balancer should send users to this controller. A controller that is not
 * ready for users may still serve workers. It can turn users away early, because no user depends on
 * a particular controller. */
static bool is_ready(const struct tmx_controller *controller) {
  if (!tmx_authority_may_act(&controller->authority) ||
      tmx_peers_store_lost_only_here(controller->peers))
    return false;
  double store_age_s = tmx_clock_steady() - tmx_store_fresh_as_of(controller->store);
  return store_age_s < TMX_STORE_UNREACHABLE_S || tmx_peers_any_alive(controller->peers);
}

static void handle_heartbeat(struct tmx_controller *controller, struct tmx_http_request *request) {
  if (request->method == HTTP_POST)
    tmx_workers_handle_heartbeat(controller->workers, request);
  else
    tmx_http_reply(request, 405, NULL, 0);
}

void tmx_controller_handle_request(void *arg, struct tmx_http_request *request) {
  struct tmx_controller *controller = arg;
  if (!strcmp(request->path, WP_READY))
    tmx_http_reply(request, is_ready(controller) ? 200 : 503, NULL, 0);
  else if (!strcmp(request->path, WP_REPORT))
    handle_heartbeat(controller, request);
  else if (!tmx_user_api_handle(controller->user_api, request))
    tmx_http_reply(request, 404, NULL, 0);
}
