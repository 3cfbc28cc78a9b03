#include "peer/heartbeat_codec.h"

#include <arpa/inet.h>
#include <math.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "heartbeat.h"

_Static_assert(TMX_HEARTBEAT_NODE_BYTES == TMX_HEARTBEAT_NAME_MAX + 1,
               "TMX_HEARTBEAT_NODE_BYTES must match the name limit of heartbeat.x");

/* Limit of the times in a heartbeat, in seconds. A longer time without contact or replica age is
 * sent as UINT32_MAX milliseconds, and a longer unacknowledged time as this limit. */
static const double ENCODED_TIME_MAX_S = 1e6;

static u_int milliseconds(double seconds) {
  return seconds > ENCODED_TIME_MAX_S ? UINT32_MAX : (u_int)(seconds * 1000);
}

/* Appends one record preceded by its length. Returns false if the record cannot be encoded. */
static bool append_record(struct tmx_buffer *out, tmx_heartbeat *heartbeat) {
  u_int size = (u_int)xdr_sizeof((xdrproc_t)xdr_tmx_heartbeat, heartbeat);
  char *record = tmx_allocate(1, size);
  XDR stream;
  xdrmem_create(&stream, record, size, XDR_ENCODE);
  bool encoded = xdr_tmx_heartbeat(&stream, heartbeat);
  if (encoded) {
    uint32_t prefix = htonl(size);
    tmx_buffer_append(out, &prefix, sizeof prefix);
    tmx_buffer_append(out, record, size);
  }
  xdr_destroy(&stream);
  free(record);
  return encoded;
}

/* Casts away const because the XDR types are also used for decoding. Encoding only reads them. */
static tmx_heartbeat_suspicion *suspicions_to_wire(const struct tmx_heartbeat_message *message) {
  tmx_heartbeat_suspicion *result = tmx_allocate(message->n_suspicions, sizeof *result);
  for (size_t i = 0; i < message->n_suspicions; i++) {
    const struct tmx_suspicion *suspicion = &message->suspicions[i];
    result[i] = (tmx_heartbeat_suspicion){
        .id = (char *)suspicion->id,
        .silence_ms = milliseconds(suspicion->no_contact_s),
        .probes_lost =
            suspicion->consecutive_probes_lost > 0 ? (u_int)suspicion->consecutive_probes_lost : 0,
        .unacknowledged_ms = (u_int)(fmin(suspicion->unacknowledged_s, ENCODED_TIME_MAX_S) * 1000),
        .spot_notice = suspicion->spot_notice};
  }
  return result;
}

static void zones_to_wire(const struct tmx_heartbeat_message *message,
                          const struct tmx_settings *settings, tmx_heartbeat_zone zones[]) {
  for (size_t i = 0; i < settings->n_zones; i++)
    zones[i] = (tmx_heartbeat_zone){.name = (char *)settings->zones[i],
                                    .machines = message->zones[i].machines,
                                    .lost = message->zones[i].lost,
                                    .alive = message->zones[i].alive};
}

/* Appends as many records as the suspicions need, and one record if there are none. */
static void append_records(struct tmx_buffer *out, tmx_heartbeat *heartbeat,
                           tmx_heartbeat_suspicion *suspicions, size_t count) {
  size_t first = 0;
  do {
    size_t remaining = count - first;
    size_t record_count =
        remaining < TMX_HEARTBEAT_SUSPICIONS_MAX ? remaining : TMX_HEARTBEAT_SUSPICIONS_MAX;
    heartbeat->suspicions.suspicions_len = (u_int)record_count;
    heartbeat->suspicions.suspicions_val = suspicions + first;
    if (!append_record(out, heartbeat)) return;
    first += record_count;
  } while (first < count);
}

void tmx_heartbeat_encode(struct tmx_buffer *out, const struct tmx_heartbeat_message *message,
                          const struct tmx_settings *settings) {
  tmx_heartbeat_zone zones[TMX_ZONES_MAX];
  zones_to_wire(message, settings, zones);
  tmx_heartbeat heartbeat = {.node = (char *)message->node,
                             .revision = message->revision,
                             .term = message->term,
                             .replica_age_ms = milliseconds(message->replica_age_s),
                             .reaches_no_workers = message->reaches_no_workers,
                             .zones = {.zones_len = (u_int)settings->n_zones, .zones_val = zones}};
  tmx_heartbeat_suspicion *suspicions = suspicions_to_wire(message);
  append_records(out, &heartbeat, suspicions, message->n_suspicions);
  free(suspicions);
}

static struct tmx_suspicion suspicion_from_wire(const tmx_heartbeat_suspicion *wire) {
  struct tmx_suspicion suspicion = {.no_contact_s = wire->silence_ms / 1000.0,
                                    .consecutive_probes_lost = (int)wire->probes_lost,
                                    .unacknowledged_s = wire->unacknowledged_ms / 1000.0,
                                    .spot_notice = wire->spot_notice};
  snprintf(suspicion.id, sizeof suspicion.id, "%s", wire->id);
  return suspicion;
}

static void zones_from_wire(struct tmx_heartbeat_message *message, const tmx_heartbeat *heartbeat,
                            const struct tmx_settings *settings) {
  for (u_int i = 0; i < heartbeat->zones.zones_len; i++) {
    const tmx_heartbeat_zone *wire = &heartbeat->zones.zones_val[i];
    int zone = tmx_zone_index(settings, wire->name);
    if (zone >= 0)
      message->zones[zone] = (struct tmx_zone_liveness){
          .machines = wire->machines, .lost = wire->lost, .alive = wire->alive};
  }
}

static void message_from_wire(struct tmx_heartbeat_message *message, const tmx_heartbeat *heartbeat,
                              const struct tmx_settings *settings) {
  snprintf(message->node, sizeof message->node, "%s", heartbeat->node);
  message->revision = heartbeat->revision;
  message->term = heartbeat->term;
  message->replica_age_s = heartbeat->replica_age_ms / 1000.0;
  message->reaches_no_workers = heartbeat->reaches_no_workers;
  message->n_suspicions = heartbeat->suspicions.suspicions_len;
  message->suspicions = tmx_allocate(message->n_suspicions, sizeof *message->suspicions);
  for (size_t i = 0; i < message->n_suspicions; i++)
    message->suspicions[i] = suspicion_from_wire(&heartbeat->suspicions.suspicions_val[i]);
  zones_from_wire(message, heartbeat, settings);
}

bool tmx_heartbeat_decode(struct tmx_heartbeat_message *message, const uint8_t *record,
                          size_t length, const struct tmx_settings *settings) {
  XDR stream;
  tmx_heartbeat heartbeat;
  memset(&heartbeat, 0, sizeof heartbeat);
  memset(message, 0, sizeof *message);
  xdrmem_create(&stream, (char *)record, (u_int)length, XDR_DECODE);
  bool decoded = xdr_tmx_heartbeat(&stream, &heartbeat);
  if (decoded) message_from_wire(message, &heartbeat, settings);
  xdr_destroy(&stream);
  xdr_free((xdrproc_t)xdr_tmx_heartbeat, (char *)&heartbeat);
  return decoded;
}
