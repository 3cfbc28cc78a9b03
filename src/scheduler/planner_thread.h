/**
 * @file
 * The thread that plans. It owns a planner with its own tables, so that it shares no state with the
 * loop's thread: work goes in and a result comes out, both under one lock.
 *
 * All functions may be called by the loop's thread only. There is at most one piece of work at a
 * time: after a submission the next one may follow once the result has been taken.
 */
#ifndef TMX_PLANNER_THREAD_H
#define TMX_PLANNER_THREAD_H
#include <ev.h>

#include "planner/planner.h"

struct tmx_planner_thread;

/** Called on the loop's thread when a result may be ready to be taken. */
typedef void (*tmx_planner_thread_cb)(void *context);

/** Starts the thread. The loop must outlive it. */
struct tmx_planner_thread *tmx_planner_thread_new(struct ev_loop *loop,
                                                  tmx_planner_thread_cb on_result, void *context);
/** Waits for the thread to end, which finishes the round it is planning. Frees work that it has not
 * taken up, and a result that was not taken. */
void tmx_planner_thread_free(struct tmx_planner_thread *thread);

/** Has the thread apply the delta to its tables and plan a round. The delta's contents go over to
 * the thread; the delta is left empty. */
void tmx_planner_thread_submit(struct tmx_planner_thread *thread, struct tmx_planner_delta *delta,
                               const struct tmx_round_input *input);
/** Moves the result into `output`, whose operations the caller then owns. Returns false, and leaves
 * `output` alone, if no result is ready. */
bool tmx_planner_thread_take_result(struct tmx_planner_thread *thread,
                                    struct tmx_round_output *output);
#endif
