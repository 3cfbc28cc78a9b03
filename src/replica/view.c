#include "replica/view.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

void tmx_view_clear(struct tmx_view *view) {
  HASH_CLEAR(hh, view->overrides_by_machine);
  free(view->overrides);
  memset(view, 0, sizeof *view);
}

/* Appends the list of machines that have the same owner as the override at `first`, and marks their
 * overrides as written. Earlier overrides have other owners. */
static void encode_machines_of_node(struct tmx_buffer *buffer, const struct tmx_view *view,
                                    size_t first, bool *written) {
  struct tmx_buffer ids = {0};
  size_t n = 0;
  for (size_t i = first; i < view->n_overrides; i++) {
    if (strcmp(view->overrides[i].node, view->overrides[first].node)) continue;
    written[i] = true;
    tmx_cbor_put_text(&ids, view->overrides[i].machine);
    n++;
  }
  tmx_cbor_put_array(buffer, n);
  tmx_buffer_append(buffer, ids.data, ids.length);
  tmx_buffer_free(&ids);
}

/* Appends a flat list: a node's name, the list of its machines, the next node's name, and so on.
 * Each name is written only once, since the size of a value is limited and a partition can override
 * the owner of many machines. */
static void encode_overrides(struct tmx_buffer *buffer, const struct tmx_view *view) {
  size_t n = 0;
  struct tmx_buffer list = {0};
  bool *written = tmx_allocate(view->n_overrides, sizeof *written);
  for (size_t i = 0; i < view->n_overrides; i++) {
    if (written[i]) continue;
    tmx_cbor_put_text(&list, view->overrides[i].node);
    encode_machines_of_node(&list, view, i, written);
    n += 2;
  }
  free(written);
  tmx_cbor_put_array(buffer, n);
  tmx_buffer_append(buffer, list.data, list.length);
  tmx_buffer_free(&list);
}

void tmx_view_encode(struct tmx_buffer *buffer, const struct tmx_view *view) {
  tmx_cbor_put_map(buffer, 4);
  tmx_cbor_put_bool_field(buffer, "local", view->zones_partitioned);
  tmx_cbor_put_u64_field(buffer, "term", view->term);
  tmx_cbor_put_text(buffer, "members");
  tmx_cbor_put_array(buffer, view->n_members);
  for (size_t i = 0; i < view->n_members; i++) {
    tmx_cbor_put_map(buffer, 2);
    tmx_cbor_put_text_field(buffer, "name", view->members[i].name);
    tmx_cbor_put_u64_field(buffer, "inc", view->members[i].incarnation);
  }
  tmx_cbor_put_text(buffer, "exceptions");
  encode_overrides(buffer, view);
}

static void decode_members(struct tmx_view *view, const cbor_item_t *members) {
  for (size_t i = 0; i < tmx_cbor_array_length(members) && view->n_members < TMX_MEMBERS_MAX; i++) {
    const cbor_item_t *item = tmx_cbor_array_at(members, i);
    struct tmx_member *member = &view->members[view->n_members];
    if (tmx_cbor_get_text(item, "name", member->name, sizeof member->name) &&
        tmx_cbor_get_u64(item, "inc", &member->incarnation))
      view->n_members++;
  }
}

static void decode_override(struct tmx_view *view, const cbor_item_t *node,
                            const cbor_item_t *machine) {
  struct tmx_owner_override *override = &view->overrides[view->n_overrides], *earlier;
  if (!tmx_cbor_as_text(node, override->node, sizeof override->node) ||
      !tmx_cbor_as_text(machine, override->machine, sizeof override->machine))
    return;
  HASH_FIND_STR(view->overrides_by_machine, override->machine, earlier);
  if (earlier) return;
  HASH_ADD_STR(view->overrides_by_machine, machine, override);
  view->n_overrides++;
}

static void decode_overrides(struct tmx_view *view, const cbor_item_t *list) {
  size_t n = 0;
  for (size_t i = 1; i < tmx_cbor_array_length(list); i += 2)
    n += tmx_cbor_array_length(tmx_cbor_array_at(list, i));
  /* one spare entry: decode_override() writes a malformed override behind the last valid one */
  view->overrides = tmx_allocate(n + 1, sizeof *view->overrides);
  for (size_t i = 0; i + 1 < tmx_cbor_array_length(list); i += 2) {
    const cbor_item_t *machines = tmx_cbor_array_at(list, i + 1);
    for (size_t k = 0; k < tmx_cbor_array_length(machines); k++)
      decode_override(view, tmx_cbor_array_at(list, i), tmx_cbor_array_at(machines, k));
  }
}

void tmx_view_decode(struct tmx_view *view, const cbor_item_t *value) {
  tmx_cbor_get_u64(value, "term", &view->term);
  tmx_cbor_get_bool(value, "local", &view->zones_partitioned);
  decode_members(view, tmx_cbor_get(value, "members"));
  decode_overrides(view, tmx_cbor_get(value, "exceptions"));
}
