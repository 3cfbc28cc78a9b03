/** @file
 * Parses the body of a submission. The functions have no state and may be called on any thread. */
#ifndef TMX_SUBMISSION_READER_H
#define TMX_SUBMISSION_READER_H
#include "net/http.h"
#include "scheduler/scheduler.h"

/** Whether the body of a submission could be parsed. */
enum tmx_submission_syntax {
  TMX_SUBMISSION_SYNTAX_VALID,   /**< all fields are valid */
  TMX_SUBMISSION_SYNTAX_INVALID, /**< the job's ID is valid, but another field is malformed */
  TMX_SUBMISSION_SYNTAX_NO_ID,   /**< not CBOR, or without a valid job ID */
};

/**
 * Parses the body of a request.
 * @param http        the request
 * @param submission  zeroed by the caller; receives all fields except `submitted_at`. The caller
 *                    frees it with tmx_user_submission_free(), whatever the result.
 * @return how much of the body is valid
 */
enum tmx_submission_syntax tmx_user_submission_read(const struct tmx_http_request *http,
                                                    struct tmx_submission *submission);
/** Frees a heap-allocated submission and its list of prerequisites. NULL is allowed. */
void tmx_user_submission_free(struct tmx_submission *submission);
#endif
