/**
 * @file
 * Encodes and decodes heartbeats: the XDR records of heartbeat.x, each after its length. No I/O.
 */
#ifndef TMX_HEARTBEAT_CODEC_H
#define TMX_HEARTBEAT_CODEC_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/settings.h"
#include "membership/failure_detector.h"
#include "net/cbor.h"

enum {
  TMX_HEARTBEAT_PREFIX_BYTES = 4,       /**< the length before each record, big-endian */
  TMX_HEARTBEAT_RECORD_MAX = 256 << 10, /**< bytes; a longer record is refused */
  TMX_HEARTBEAT_NODE_BYTES = 64 + 1     /**< the longest name on the wire, and its end */
};

/** What a controller says of itself and of its machines. */
struct tmx_heartbeat_message {
  char node[TMX_HEARTBEAT_NODE_BYTES]; /**< the sender */
  uint64_t revision;                   /**< of its replica */
  uint64_t term;                       /**< of the view by which it owns its machines */
  double replica_age_s;                /**< since its replica was last known to be fresh, seconds */
  bool reaches_no_workers;             /**< it reaches hardly any of its machines */
  struct tmx_suspicion *suspicions;    /**< of its machines; the caller frees them with free() */
  size_t n_suspicions;                 /**< entries of `suspicions` */
  struct tmx_zone_liveness zones[TMX_ZONES_MAX]; /**< of its machines, by zone of the settings */
};

/** Appends the message with its length. A record holds a bounded number of suspicions: more of them
 * go into further records, which every version takes as one heartbeat after another. */
void tmx_heartbeat_encode(struct tmx_buffer *out, const struct tmx_heartbeat_message *message,
                          const struct tmx_settings *settings);

/** Reads one record, without its length. False: it is malformed, and there is nothing to free.
 * Zones that the settings do not name are left out. */
bool tmx_heartbeat_decode(struct tmx_heartbeat_message *message, const uint8_t *record,
                          size_t length, const struct tmx_settings *settings);
#endif
