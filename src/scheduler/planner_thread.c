#include "scheduler/planner_thread.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "tmx/constants.h"

struct tmx_planner_thread {
  struct ev_loop *loop;
  tmx_planner_thread_cb on_result;
  void *context;
  ev_async result_event;
  pthread_t thread;
  pthread_mutex_t lock; /* guards the fields below */
  pthread_cond_t work_available;
  struct tmx_planner_delta delta;
  struct tmx_round_input input;
  struct tmx_round_output output;
  bool has_work, has_result, quit;
};

/* Waits for a request and moves it into the parameters. The caller holds the lock. Returns false if
 * the thread must end. */
static bool wait_for_work(struct tmx_planner_thread *thread, struct tmx_planner_delta *delta,
                          struct tmx_round_input *input) {
  while (!thread->has_work && !thread->quit)
    pthread_cond_wait(&thread->work_available, &thread->lock);
  if (thread->quit) return false;
  *delta = thread->delta;
  *input = thread->input;
  memset(&thread->delta, 0, sizeof thread->delta);
  thread->has_work = false;
  return true;
}

static void *planner_thread_main(void *arg) {
  struct tmx_planner_thread *thread = arg;
  struct tmx_planner *planner = tmx_planner_new();
  struct tmx_planner_delta delta;
  struct tmx_round_input input;
  struct tmx_round_output output;
  pthread_mutex_lock(&thread->lock);
  while (wait_for_work(thread, &delta, &input)) {
    pthread_mutex_unlock(&thread->lock);
    tmx_planner_apply(planner, &delta);
    tmx_planner_run_round(planner, &input, &output);
    pthread_mutex_lock(&thread->lock);
    thread->output = output;
    thread->has_result = true;
    ev_async_send(thread->loop, &thread->result_event);
  }
  pthread_mutex_unlock(&thread->lock);
  tmx_planner_free(planner);
  return NULL;
}

static void on_result_event(struct ev_loop *loop, ev_async *event, int revents) {
  (void)loop;
  (void)revents;
  const struct tmx_planner_thread *thread = event->data;
  thread->on_result(thread->context);
}

struct tmx_planner_thread *tmx_planner_thread_new(struct ev_loop *loop,
                                                  tmx_planner_thread_cb on_result, void *context) {
  struct tmx_planner_thread *thread = tmx_allocate(1, sizeof *thread);
  pthread_attr_t attributes;
  thread->loop = loop;
  thread->on_result = on_result;
  thread->context = context;
  pthread_mutex_init(&thread->lock, NULL);
  pthread_cond_init(&thread->work_available, NULL);
  ev_async_init(&thread->result_event, on_result_event);
  thread->result_event.data = thread;
  ev_async_start(loop, &thread->result_event);
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, TMX_PLANNER_STACK_BYTES);
  if (pthread_create(&thread->thread, &attributes, planner_thread_main, thread)) abort();
  pthread_attr_destroy(&attributes);
  return thread;
}

void tmx_planner_thread_free(struct tmx_planner_thread *thread) {
  pthread_mutex_lock(&thread->lock);
  thread->quit = true;
  pthread_cond_signal(&thread->work_available);
  pthread_mutex_unlock(&thread->lock);
  pthread_join(thread->thread, NULL);
  ev_async_stop(thread->loop, &thread->result_event);
  tmx_planner_delta_clear(&thread->delta);
  if (thread->has_result) free(thread->output.operations);
  pthread_cond_destroy(&thread->work_available);
  pthread_mutex_destroy(&thread->lock);
  free(thread);
}

void tmx_planner_thread_submit(struct tmx_planner_thread *thread, struct tmx_planner_delta *delta,
                               const struct tmx_round_input *input) {
  pthread_mutex_lock(&thread->lock);
  thread->delta = *delta;
  thread->input = *input;
  thread->has_work = true;
  pthread_cond_signal(&thread->work_available);
  pthread_mutex_unlock(&thread->lock);
  memset(delta, 0, sizeof *delta);
}

bool tmx_planner_thread_take_result(struct tmx_planner_thread *thread,
                                    struct tmx_round_output *output) {
  pthread_mutex_lock(&thread->lock);
  bool ready = thread->has_result;
  if (ready) *output = thread->output;
  thread->has_result = false;
  pthread_mutex_unlock(&thread->lock);
  return ready;
}
