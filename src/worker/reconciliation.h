/**
 * @file
 * Reconciliation of workers' reports with the log: matches the attempts of both, and determines
 * which attempts are proven to have ended. Loop's thread only.
 */
#ifndef TMX_WORKER_RECONCILIATION_H
#define TMX_WORKER_RECONCILIATION_H
#include "worker/workers_internal.h"

/** Compares the latest report with the log. Marks each reported attempt with whether the log places
 * it on this machine, and the task of each such attempt with its reported state. Does nothing if
 * neither the report nor the machine has changed since the last comparison. */
void tmx_worker_reconcile(struct tmx_worker *worker);
/** Returns whether the latest report contains the attempt that the log places on the machine. Valid
 * after tmx_worker_reconcile(). */
bool tmx_worker_reports_task(const struct tmx_worker *worker, const struct tmx_task *task);
/** Returns whether the log requires the attempt to end: it is being stopped, or its job has ended.
 */
bool tmx_task_must_end(const struct tmx_task *task);
/** Reconciles a new report of a registered machine, and triggers scheduling rounds for the attempts
 * that have exited or must end. */
void tmx_worker_process_report(struct tmx_worker *worker);
#endif
