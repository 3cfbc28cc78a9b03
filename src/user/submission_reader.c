#include "user/submission_reader.h"

#include <stdlib.h>

#include "net/cbor.h"
#include "tmx/wire.h"

static bool read_id(const cbor_item_t *map, struct tmx_submission *submission) {
  return tmx_cbor_get_text(map, W_ID, submission->id, sizeof submission->id) &&
         tmx_job_id_is_valid(submission->id);
}

static bool read_content(const cbor_item_t *map, struct tmx_submission *submission) {
  return tmx_job_spec_parse(map, &submission->spec, submission->id, sizeof submission->id) &&
         tmx_job_ids_parse(map, &submission->prerequisite_ids);
}

enum tmx_submission_syntax tmx_user_submission_read(const struct tmx_http_request *http,
                                                    struct tmx_submission *submission) {
  enum tmx_submission_syntax syntax = TMX_SUBMISSION_SYNTAX_NO_ID;
  cbor_item_t *map = tmx_cbor_parse(http->body, http->body_len);
  if (map && read_id(map, submission))
    syntax =
        read_content(map, submission) ? TMX_SUBMISSION_SYNTAX_VALID : TMX_SUBMISSION_SYNTAX_INVALID;
  tmx_cbor_free(map);
  return syntax;
}

void tmx_user_submission_free(struct tmx_submission *submission) {
  if (!submission) return;
  tmx_job_ids_free(&submission->prerequisite_ids);
  free(submission);
}
