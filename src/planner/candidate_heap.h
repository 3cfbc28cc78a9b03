/**
 * @file
 * Heaps of the machines that may take a job's next task, by cost: internal to src/planner.
 */
#ifndef TMX_CANDIDATE_HEAP_H
#define TMX_CANDIDATE_HEAP_H
#include <stddef.h>

/** A machine that may take a task. */
struct candidate {
  double cost; /**< lower is better, see placement_cost.h */
  int machine; /**< slot */
};

/** A binary heap with the lowest cost first; zeroed: empty. */
struct candidate_heap {
  struct candidate *candidates; /**< allocated; released with free() */
  size_t count,                 /**< candidates in the heap */
      capacity;                 /**< candidates allocated */
};

/** Adds a candidate without regard to the order; tmx_candidate_heap_build() must follow. */
void tmx_candidate_heap_append(struct candidate_heap *heap, double cost, int machine);

/** Establishes the heap order over all that was appended. */
void tmx_candidate_heap_build(struct candidate_heap *heap);

/** Removes the first candidate; there must be one. */
void tmx_candidate_heap_remove_first(struct candidate_heap *heap);

/** Gives the first candidate a higher cost and moves it to its place. */
void tmx_candidate_heap_raise_first(struct candidate_heap *heap, double cost);

#endif
