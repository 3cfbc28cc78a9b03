/**
 * @file
 * Writes a snapshot of the replica into pages: machines, the jobs that are open, and the states of
 * their tasks. Each page is put on the condition that head is what the replica saw, so it holds
 * exactly the state at its own version. Keys are loaded in the order of their versions, so what a
 * page says replaces what earlier batches said. Loop's thread only.
 */
#ifndef TMX_SNAPSHOT_WRITER_H
#define TMX_SNAPSHOT_WRITER_H
#include "config/settings.h"
#include "replica/replica.h"
#include "store/store.h"

/** A snapshot that is being written, and the position in it. */
struct tmx_snapshot_writer;

/** What tmx_snapshot_writer_add_pages() did. */
enum tmx_snapshot_result {
  TMX_SNAPSHOT_PAGES_ADDED,   /**< the transaction holds pages and their condition */
  TMX_SNAPSHOT_COMPLETE,      /**< all pages were committed: there is nothing to add */
  TMX_SNAPSHOT_NO_BUDGET,     /**< no put may be used now */
  TMX_SNAPSHOT_ITEM_TOO_LARGE /**< a record or line exceeds a page: the snapshot is impossible */
};

/** Creates a writer, which the caller owns. Settings and replica must outlive it. */
struct tmx_snapshot_writer *tmx_snapshot_writer_new(const struct tmx_settings *settings,
                                                    struct tmx_replica *replica);
/** Frees the writer. Pages that were committed stay in the store. */
void tmx_snapshot_writer_free(struct tmx_snapshot_writer *writer);
/** Begins a snapshot of the machines and jobs that the replica holds now. The generation, by which
 * the keys of its pages are named, is the replica's revision. */
void tmx_snapshot_writer_begin(struct tmx_snapshot_writer *writer);
/** Revision at which the snapshot began. */
uint64_t tmx_snapshot_writer_generation(const struct tmx_snapshot_writer *writer);
/** Number of machines in the snapshot. */
size_t tmx_snapshot_writer_machine_count(const struct tmx_snapshot_writer *writer);
/** Number of jobs in the snapshot. */
size_t tmx_snapshot_writer_job_count(const struct tmx_snapshot_writer *writer);
/** Adds the next pages to the transaction, until it has `max_puts` operations or is full, and their
 * condition. */
enum tmx_snapshot_result tmx_snapshot_writer_add_pages(struct tmx_snapshot_writer *writer,
                                                       struct tmx_transaction *transaction,
                                                       int max_puts);
/** The pages added last were committed. Otherwise the next call adds the same content again. */
void tmx_snapshot_writer_pages_committed(struct tmx_snapshot_writer *writer);
/** Id of the job that was next when the pages were added last; "" if none was. */
const char *tmx_snapshot_writer_next_job(const struct tmx_snapshot_writer *writer);
#endif
