/**
 * @file
 * The view: which controllers are members, and the machines that were given to other owners than
 * the hash says.
 */
#ifndef TMX_VIEW_H
#define TMX_VIEW_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "net/cbor.h"
#include "tmx/constants.h"

/** A controller in the view, or one that is registered. */
struct tmx_member {
  char name[TMX_NAME_MAX]; /**< node name of the controller */
  uint64_t incarnation;    /**< version of its member key: which run of the process it is */
  int zone;                /**< where the settings say it is; -1: unknown */
};

/** A machine whose owner is not the one that the hash says. */
struct tmx_owner_override {
  char machine[TMX_ID_MAX]; /**< id of the machine */
  char node[TMX_NAME_MAX];  /**< its owner's name */
  UT_hash_handle hh;        /**< in the view's `overrides_by_machine` */
};

/** Members and owners, as the leader committed them. */
struct tmx_view {
  uint64_t version; /**< of its key */
  uint64_t term;    /**< grows with every view; upper part of fencing tokens */
  struct tmx_member members[TMX_MEMBERS_MAX]; /**< the members; owners are indexes into it */
  size_t n_members;                           /**< used entries of `members` */
  bool zones_partitioned; /**< zones cannot reach each other: machines belong to members of their
                             own zone */
  struct tmx_owner_override *overrides;            /**< array, owned by the view */
  struct tmx_owner_override *overrides_by_machine; /**< hash table of its entries */
  size_t n_overrides;                              /**< used entries of `overrides` */
};

/** Appends the view's stored form. */
void tmx_view_encode(struct tmx_buffer *buffer, const struct tmx_view *view);
/**
 * Reads a view's stored form into `view`, which must be empty. Members that are malformed, and
 * overrides that are malformed or repeat a machine, are passed over. The members' zones are left
 * at 0: they are no part of the stored form.
 */
void tmx_view_decode(struct tmx_view *view, const cbor_item_t *value);
/** Releases the overrides and leaves an empty view. */
void tmx_view_clear(struct tmx_view *view);
#endif
