/** @file
 * Reads the body of a submission. Pure. */
#ifndef TMX_SUBMISSION_READER_H
#define TMX_SUBMISSION_READER_H
#include "net/http.h"
#include "scheduler/scheduler.h"

/** How much of a submission's body could be read. */
enum tmx_submission_form {
  TMX_SUBMISSION_FORM_VALID,     /**< all of it */
  TMX_SUBMISSION_FORM_MALFORMED, /**< it names a job, but something else in it is malformed */
  TMX_SUBMISSION_FORM_UNNAMED,   /**< it does not even name a job */
};

/** Reads into a zeroed submission; the time of submission is left to the caller, who frees the
 *  submission whatever the result. */
enum tmx_submission_form tmx_user_submission_read(const struct tmx_http_request *http,
                                                  struct tmx_submission *submission);
/** Frees a submission and its dependencies; NULL is allowed. */
void tmx_user_submission_free(struct tmx_submission *submission);
#endif
