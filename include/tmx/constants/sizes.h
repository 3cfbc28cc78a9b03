/**
 * @file
 * Sizes of messages and tables. See tmx/constants.h.
 */
#ifndef TMX_CONSTANTS_SIZES_H
#define TMX_CONSTANTS_SIZES_H

/** Bytes of a request's body; the limit is set by PROTOCOL. */
#define TMX_REQUEST_BODY_BYTES_MAX 65536
/**
 * Bytes of a response's body. PROTOCOL sets no limit for the response of a watch; this limit bounds
 * the memory that the response takes.
 */
#define TMX_RESPONSE_BODY_BYTES_MAX (24u << 20)
/** Levels of nesting in a CBOR item; no message of PROTOCOL nests deeper than 5. */
#define TMX_CBOR_DEPTH_MAX 16
/** Bytes of a buffer for a request's path with its query; a store key has at most 200 bytes. */
#define TMX_PATH_BYTES 512
/** Bytes of a buffer for the name of a controller, zone, team, class or image. */
#define TMX_NAME_BYTES 64
/** Bytes of a buffer for the id of a job or the name of a machine or machine type. */
#define TMX_ID_BYTES 32
/** Tasks of one job; the limit is set by PROTOCOL. */
#define TMX_JOB_TASKS_MAX 100000
/** Zones in the settings; each job has a counter for each of them. */
#define TMX_ZONES_MAX 16
/** Machine types in the catalogue; further ones are ignored. */
#define TMX_MACHINE_TYPES_MAX 32
/** Controllers in one view. */
#define TMX_MEMBERS_MAX 16
/**
 * Sockets reserved for listening and for connections to the store, to the cloud and, in both
 * directions, to peers; at most half of all sockets are reserved.
 */
#define TMX_RESERVED_SOCKETS 120
/**
 * Share of the unreserved sockets that is for connections to workers; the rest is for incoming
 * connections.
 */
#define TMX_WORKER_SOCKETS_SHARE 0.23
/**
 * Seconds before an idle incoming connection is closed, unless TMX_IDLE_CONNECTION_REPORT_PERIODS
 * is longer.
 */
#define TMX_IDLE_CONNECTION_TIMEOUT_S 60.0
/**
 * Report periods before an idle incoming connection is closed, so that a worker's connection stays
 * open until it has missed this many reports.
 */
#define TMX_IDLE_CONNECTION_REPORT_PERIODS 4.0
/**
 * Seconds that a connection must have been idle to be closed in favour of a new one when all
 * sockets are in use.
 */
#define TMX_IDLE_CONNECTION_EVICTION_MIN_S 1.0
/**
 * Seconds without further data after which a connection that has received only part of a request is
 * closed. Each part that arrives restarts the time, so the whole request may take longer.
 */
#define TMX_REQUEST_STALL_TIMEOUT_S 15.0

#endif
