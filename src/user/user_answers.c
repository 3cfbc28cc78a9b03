#include <http_parser.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "tmx/wire.h"
#include "user/user_internal.h"

void tmx_user_reply_unavailable(struct tmx_http_request *http, const char *reason) {
  if (tmx_log_enabled(TMX_LOG_DEBUG))
    tmx_log(TMX_LOG_DEBUG, "user: %s refused with 503: %s",
            http->method == HTTP_POST ? "request" : "poll", reason);
  tmx_http_reply(http, 503, NULL, tmx_retry_after());
}

void tmx_user_reply_state(struct tmx_http_request *http, int status, const char *id,
                          const char *state) {
  struct tmx_buffer body = {0};
  tmx_cbor_put_map(&body, 2);
  tmx_cbor_put_text_field(&body, W_ID, id);
  tmx_cbor_put_text_field(&body, W_STATE, state);
  tmx_http_reply(http, status, &body, 0);
  tmx_buffer_free(&body);
}

static const char *state_of(const struct tmx_job *job) {
  if (job->outcome == TMX_JOB_DONE) return WV_DONE;
  if (job->outcome == TMX_JOB_CANCELLED) return WV_CANCELLED;
  return job->n_placed ? WV_RUNNING : WV_PENDING;
}

void tmx_user_reply_job(struct tmx_http_request *http, struct tmx_job *job) {
  struct tmx_buffer body = {0};
  job->answered_at = tmx_clock_steady();
  tmx_cbor_put_map(&body, 4);
  tmx_cbor_put_text_field(&body, W_ID, job->id);
  tmx_cbor_put_text_field(&body, W_STATE, state_of(job));
  tmx_cbor_put_u64_field(&body, W_DONE, job->n_done);
  tmx_cbor_put_u64_field(&body, W_RUNNING, job->outcome ? 0 : job->n_placed);
  tmx_http_reply(http, 200, &body, 0);
  tmx_buffer_free(&body);
}

void tmx_user_reply_cancel_too_late(struct tmx_http_request *http, const struct tmx_job *job) {
  tmx_user_reply_state(http, 200, job->id, job->outcome == TMX_JOB_DONE ? WV_DONE : WV_CANCELLED);
}
