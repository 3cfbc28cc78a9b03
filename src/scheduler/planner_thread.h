/**
 * @file
 * The planner's thread. It owns a planner with its own tables and shares no state with the loop's
 * thread except a slot for one request and a slot for one result, both guarded by one lock.
 *
 * All functions may be called only on the loop's thread. At most one request is in progress: the
 * caller takes the result of a request before it submits the next one.
 */
#ifndef TMX_PLANNER_THREAD_H
#define TMX_PLANNER_THREAD_H
#include <ev.h>

#include "planner/planner.h"

/** The planner's thread, as seen by the loop's thread. */
struct tmx_planner_thread;

/** Called on the loop's thread when a result may be ready. */
typedef void (*tmx_planner_thread_cb)(void *context);

/** Starts the thread. `loop` must outlive it. `context` is passed to `on_result` and is not owned.
 * Aborts the process if no thread can be created. */
struct tmx_planner_thread *tmx_planner_thread_new(struct ev_loop *loop,
                                                  tmx_planner_thread_cb on_result, void *context);
/** Waits until the thread has finished its current round and ended. Frees a request that it has not
 * started and a result that was not taken. */
void tmx_planner_thread_free(struct tmx_planner_thread *thread);

/** Requests that the thread applies the delta to its tables and plans a round. The thread takes
 * ownership of the contents of the delta and leaves the delta empty. */
void tmx_planner_thread_submit(struct tmx_planner_thread *thread, struct tmx_planner_delta *delta,
                               const struct tmx_round_input *input);
/** Moves the result into `output`; the caller then owns its operations. Returns false and leaves
 * `output` unchanged if no result is ready. */
bool tmx_planner_thread_take_result(struct tmx_planner_thread *thread,
                                    struct tmx_round_output *output);
#endif
