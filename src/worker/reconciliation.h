/**
 * @file
 * Reconciliation of workers' reports with the log: what each says of the other, and which attempts'
 * end is proven by it. Loop's thread only.
 */
#ifndef TMX_WORKER_RECONCILIATION_H
#define TMX_WORKER_RECONCILIATION_H
#include "worker/workers_internal.h"

/** Compares the latest report with the log, unless neither changed since the last time: each
 * attempt of either is marked with what the other says. */
void tmx_worker_reconcile(struct tmx_worker *worker);
/** Whether the latest report has the attempt that the log places there; after reconciliation. */
bool tmx_worker_reports(const struct tmx_worker *worker, const struct tmx_task *task);
/** Whether the log says that the attempt must end. */
bool tmx_task_is_leaving(const struct tmx_task *task);
/** Reconciles a new report of a registered machine, and triggers rounds for what it tells. */
void tmx_worker_note_report(struct tmx_worker *worker);
#endif
