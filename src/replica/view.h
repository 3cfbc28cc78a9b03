/**
 * @file
 * The view: the controllers that are members, and the machines whose owner is set explicitly rather
 * than by the hash.
 *
 * A view belongs to one thread at a time; the functions have no shared state.
 */
#ifndef TMX_VIEW_H
#define TMX_VIEW_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "net/cbor.h"
#include "tmx/constants.h"

/** A controller in the view, or a registered one. */
struct tmx_member {
  char name[TMX_NAME_BYTES]; /**< node name of the controller */
  uint64_t incarnation;      /**< version of its member key; identifies the run of its process */
  int zone;                  /**< index of its zone in the settings; -1: unknown */
};

/** A machine whose owner is set explicitly rather than by the hash. */
struct tmx_owner_override {
  char machine[TMX_ID_BYTES]; /**< id of the machine */
  char node[TMX_NAME_BYTES];  /**< node name of the owner */
  UT_hash_handle hh;          /**< hash handle in `overrides_by_machine`, by machine */
};

/** A committed view. The leader commits changes of the members; any member can commit overrides. */
struct tmx_view {
  uint64_t version; /**< version of the view's key */
  uint64_t term;    /**< increases with every view; upper part of fencing tokens */
  struct tmx_member
      members[TMX_MEMBERS_MAX]; /**< the members; owners are indexes into this array */
  size_t n_members;             /**< used entries of `members` */
  bool zones_partitioned; /**< zones cannot reach each other; each machine is owned by a member in
                             its own zone, if there is one */
  struct tmx_owner_override *overrides;            /**< array owned by the view */
  struct tmx_owner_override *overrides_by_machine; /**< hash table of the entries of `overrides` */
  size_t n_overrides;                              /**< used entries of `overrides` */
};

/** Appends the view's stored form to the buffer. */
void tmx_view_encode(struct tmx_buffer *buffer, const struct tmx_view *view);
/**
 * Decodes a view's stored form into `view`, which must be empty. Skips malformed members, malformed
 * overrides, and further overrides of the same machine. The stored form does not include the
 * members' zones, which stay 0.
 */
void tmx_view_decode(struct tmx_view *view, const cbor_item_t *value);
/** Releases the overrides and empties the view. */
void tmx_view_clear(struct tmx_view *view);
#endif
