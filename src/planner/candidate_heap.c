#include "planner/candidate_heap.h"
#include "base/memory.h"

static void sift_down(struct candidate_heap *heap, size_t parent) {
  struct candidate *candidates = heap->candidates;
  for (;;) {
    size_t child = 2 * parent + 1;
    if (child >= heap->count) return;
    if (child + 1 < heap->count && candidates[child + 1].cost < candidates[child].cost) child++;
    if (candidates[parent].cost <= candidates[child].cost) return;
    struct candidate swapped = candidates[parent];
    candidates[parent] = candidates[child];
    candidates[child] = swapped;
    parent = child;
  }
}

void tmx_candidate_heap_append(struct candidate_heap *heap, double cost, int machine) {
  heap->candidates =
      tmx_grow(heap->candidates, &heap->capacity, heap->count + 1, sizeof *heap->candidates);
  heap->candidates[heap->count++] = (struct candidate){cost, machine};
}

void tmx_candidate_heap_build(struct candidate_heap *heap) {
  for (size_t i = heap->count / 2; i-- > 0;) sift_down(heap, i);
}

void tmx_candidate_heap_remove_first(struct candidate_heap *heap) {
  heap->candidates[0] = heap->candidates[--heap->count];
  sift_down(heap, 0);
}

void tmx_candidate_heap_raise_first(struct candidate_heap *heap, double cost) {
  heap->candidates[0].cost = cost;
  sift_down(heap, 0);
}
