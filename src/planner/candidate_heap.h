/**
 * @file
 * Binary heaps of candidate machines for a job's next task, ordered by cost. Internal to
 * src/planner.
 */
#ifndef TMX_CANDIDATE_HEAP_H
#define TMX_CANDIDATE_HEAP_H
#include <stddef.h>

/** A machine on which a task may be placed. */
struct candidate {
  double cost; /**< lower is better, see placement_cost.h */
  int machine; /**< slot of the machine */
};

/** A binary heap with the lowest cost first. A zeroed struct is an empty heap. */
struct candidate_heap {
  struct candidate *candidates; /**< allocated; the owner of the heap releases it with free() */
  size_t count,                 /**< entries in use */
      capacity;                 /**< entries allocated */
};

/** Appends a candidate without restoring the heap order. tmx_candidate_heap_build() must be called
 * before the heap is read. */
void tmx_candidate_heap_append(struct candidate_heap *heap, double cost, int machine);

/** Establishes the heap order over all candidates. */
void tmx_candidate_heap_build(struct candidate_heap *heap);

/** Removes the first candidate and restores the heap order. The heap must not be empty. */
void tmx_candidate_heap_remove_first(struct candidate_heap *heap);

/** Raises the cost of the first candidate and restores the heap order. The heap must not be empty,
 * and `cost` must not be below the old cost. */
void tmx_candidate_heap_raise_first(struct candidate_heap *heap, double cost);

#endif
