/**
 * @file
 * Encodes and decodes heartbeats: the XDR records of heartbeat.x, each preceded by its length. The
 * functions do no I/O.
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
  TMX_HEARTBEAT_PREFIX_BYTES = 4,       /**< size of the length prefix, which is big-endian */
  TMX_HEARTBEAT_RECORD_MAX = 256 << 10, /**< maximum bytes of a record; a longer one is rejected */
  TMX_HEARTBEAT_NODE_BYTES = 64 + 1     /**< longest name on the wire, and the terminating null */
};

/** The state of a controller and of its machines, as sent to the other controllers. */
struct tmx_heartbeat_message {
  char node[TMX_HEARTBEAT_NODE_BYTES]; /**< node name of the sender */
  uint64_t revision;                   /**< revision of the sender's replica */
  uint64_t term;                       /**< term of the view that determines its machines */
  double replica_age_s;    /**< seconds since its replica was last known to be up to date */
  bool reaches_no_workers; /**< it reaches almost none of its workers */
  struct tmx_suspicion *suspicions; /**< suspected faults of its machines; released by the caller
                                       with free() */
  size_t n_suspicions;              /**< number of entries of `suspicions` */
  struct tmx_zone_liveness zones[TMX_ZONES_MAX]; /**< liveness of its machines, by zone index */
};

/** Appends the message as one or more records, each preceded by its length. The number of
 * suspicions in a record is limited, so the remaining ones are sent in further records. Receivers
 * of every version treat these as successive heartbeats. */
void tmx_heartbeat_encode(struct tmx_buffer *out, const struct tmx_heartbeat_message *message,
                          const struct tmx_settings *settings);

/** Decodes one record, which excludes the length prefix. Returns false if the record is malformed;
 * then there is nothing to free. Skips zones that are not in the settings. */
bool tmx_heartbeat_decode(struct tmx_heartbeat_message *message, const uint8_t *record,
                          size_t length, const struct tmx_settings *settings);
#endif
