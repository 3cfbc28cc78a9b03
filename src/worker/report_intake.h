/**
 * @file
 * Parses workers' reports and stores them in the workers' records. Loop's thread only.
 */
#ifndef TMX_WORKER_REPORT_INTAKE_H
#define TMX_WORKER_REPORT_INTAKE_H
#include "net/cbor.h"
#include "worker/workers_internal.h"

/** How a report arrived. */
enum tmx_report_source {
  TMX_REPORT_FROM_HEARTBEAT, /**< a heartbeat: the worker sent it unasked and awaits a response */
  TMX_REPORT_FROM_RESPONSE,  /**< the response to a probe or a command of this controller */
};

/** What was done with a report. */
enum tmx_ingest_status {
  TMX_INGEST_REJECTED,        /**< malformed, or the table of workers is full */
  TMX_INGEST_MACHINE_REMOVED, /**< dropped: a late copy from a machine that the log has removed */
  TMX_INGEST_STALE,           /**< dropped: not newer than the latest report */
  TMX_INGEST_ACCEPTED,        /**< stored as the latest report */
};

/** Result of ingesting a report. */
struct tmx_report_ingest {
  enum tmx_ingest_status status; /**< whether the report was stored, and if not, why */
  struct tmx_worker *worker;     /**< the worker that sent it, owned by the table; NULL if the
                                    report is rejected or the machine is removed */
  uint64_t session;              /**< the session that the report names */
};

/** Parses a report and stores it if it is newer than the worker's latest one. */
struct tmx_report_ingest tmx_workers_ingest_report(struct tmx_workers *workers,
                                                   const cbor_item_t *map,
                                                   enum tmx_report_source source);
/** Ingests the body of a response to a probe or a command. Returns false if it is not a report of
 * this worker. */
bool tmx_worker_ingest_response(struct tmx_worker *worker, const uint8_t *body, size_t length);
#endif
