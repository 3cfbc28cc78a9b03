#include "replica/job_ids.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "tmx/wire.h"

void tmx_job_ids_free(struct tmx_job_ids *ids) {
  free(ids->ids);
  ids->ids = NULL;
  ids->count = 0;
}

bool tmx_job_id_is_valid(const char *id) {
  const size_t prefix_length = strlen(W_JOB_PREFIX), length = strlen(id);
  if (length <= prefix_length || length >= TMX_ID_BYTES || strncmp(id, W_JOB_PREFIX, prefix_length))
    return false;
  const char *permitted = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_.-";
  return strspn(id + prefix_length, permitted) == length - prefix_length;
}

static int compare_ids(const void *left, const void *right) { return strcmp(left, right); }

static void sort_and_remove_duplicates(struct tmx_job_ids *ids, size_t n) {
  qsort(ids->ids, n, sizeof *ids->ids, compare_ids);
  for (size_t i = 0; i < n; i++)
    if (!i || strcmp(ids->ids[i], ids->ids[ids->count - 1]))
      memmove(ids->ids[ids->count++], ids->ids[i], TMX_ID_BYTES);
}

bool tmx_job_ids_parse(const cbor_item_t *map, struct tmx_job_ids *ids) {
  const cbor_item_t *list = tmx_cbor_get(map, W_DEPENDENCIES);
  memset(ids, 0, sizeof *ids);
  if (!list) return true;
  if (!cbor_isa_array(list)) return false;
  size_t n = tmx_cbor_array_length(list);
  if (!n) return true;
  ids->ids = tmx_allocate(n, sizeof *ids->ids);
  for (size_t i = 0; i < n; i++)
    if (!tmx_cbor_as_text(tmx_cbor_array_at(list, i), ids->ids[i], TMX_ID_BYTES) ||
        !tmx_job_id_is_valid(ids->ids[i])) {
      tmx_job_ids_free(ids);
      return false;
    }
  sort_and_remove_duplicates(ids, n);
  return true;
}

size_t tmx_job_ids_to_text(char *out, size_t capacity, const struct tmx_job_ids *ids,
                           uint32_t *from) {
  size_t used = 0;
  out[0] = 0;
  for (; *from < ids->count; ++*from) {
    const char *id = ids->ids[*from] + strlen(W_JOB_PREFIX);
    size_t length = strlen(id) + (used > 0);
    if (used + length >= capacity) break;
    snprintf(out + used, capacity - used, "%s%s", used ? " " : "", id);
    used += length;
  }
  return used;
}
