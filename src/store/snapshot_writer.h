/**
 * @file
 * Writes a snapshot of the replica into pages: the machines, the open jobs and the states of their
 * tasks. A snapshot also contains ended jobs that have not left all machines, and ended jobs whose
 * derived final state is not stored yet.
 *
 * A page is committed only if the version of the head key is the one in the replica. The page
 * therefore contains exactly the state at its own version. Controllers load pages and batches in
 * the order of their versions, so the content of a page replaces that of earlier batches.
 *
 * All functions must be called on the thread of the event loop.
 */
#ifndef TMX_SNAPSHOT_WRITER_H
#define TMX_SNAPSHOT_WRITER_H
#include "config/settings.h"
#include "replica/replica.h"
#include "store/store.h"

/** A writer with the snapshot in progress and the position up to which it is written. */
struct tmx_snapshot_writer;

/** Result of tmx_snapshot_writer_add_pages(). */
enum tmx_snapshot_result {
  TMX_SNAPSHOT_PAGES_ADDED,   /**< the transaction contains pages and their condition */
  TMX_SNAPSHOT_COMPLETE,      /**< all pages are committed; no page was added */
  TMX_SNAPSHOT_NO_BUDGET,     /**< `max_puts` is not positive; no page was added */
  TMX_SNAPSHOT_ITEM_TOO_LARGE /**< the next record or line exceeds the size of a page, so the
                                   snapshot cannot be completed; no page was added */
};

/**
 * Creates a writer.
 * @param settings  not copied; must outlive the writer
 * @param replica   the state that snapshots contain; must outlive the writer
 * @return the writer; the caller owns it and frees it with tmx_snapshot_writer_free()
 */
struct tmx_snapshot_writer *tmx_snapshot_writer_new(const struct tmx_settings *settings,
                                                    struct tmx_replica *replica);

/** Frees the writer. Committed pages remain in the store. */
void tmx_snapshot_writer_free(struct tmx_snapshot_writer *writer);

/** Starts a snapshot of the machines and jobs that the replica currently contains. The replica's
 * revision becomes the snapshot's generation, which is part of the key of each page. */
void tmx_snapshot_writer_begin(struct tmx_snapshot_writer *writer);

/** Returns the generation: the replica's revision at the start of the snapshot. */
uint64_t tmx_snapshot_writer_generation(const struct tmx_snapshot_writer *writer);

/** Returns the number of machines that the replica contained at the start of the snapshot. */
size_t tmx_snapshot_writer_machine_count(const struct tmx_snapshot_writer *writer);

/** Returns the number of jobs selected for the snapshot at its start. */
size_t tmx_snapshot_writer_job_count(const struct tmx_snapshot_writer *writer);

/**
 * Adds the next pages and their condition to a transaction.
 * @param writer       the snapshot in progress
 * @param transaction  receives the condition in any case, and the pages
 * @param max_puts     maximum number of operations in the transaction; the transaction contains
 *                     fewer if it reaches its maximum size first
 * @return whether pages were added, and if not, why
 */
enum tmx_snapshot_result tmx_snapshot_writer_add_pages(struct tmx_snapshot_writer *writer,
                                                       struct tmx_transaction *transaction,
                                                       int max_puts);

/** Records that the pages added by the latest call were committed. Without this call, the next call
 * of tmx_snapshot_writer_add_pages() starts at the same position again. */
void tmx_snapshot_writer_mark_pages_committed(struct tmx_snapshot_writer *writer);

/** Returns the ID of the job at the position that the latest call of
 * tmx_snapshot_writer_add_pages() reached; "" if no job remained. */
const char *tmx_snapshot_writer_next_job_id(const struct tmx_snapshot_writer *writer);
#endif
