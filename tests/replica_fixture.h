/** @file
 *  A replica for tests that apply keys and lines of the log to it. */
#ifndef TMX_REPLICA_FIXTURE_H
#define TMX_REPLICA_FIXTURE_H
#include "replica/replica.h"

/** The settings of the replica: one zone, "a", and one team, "t". */
extern struct tmx_settings settings;
/** The replica of the current test. */
extern struct tmx_replica replica;

/** Initializes the settings and an empty replica that is not loaded. The test frees its content
 *  with tmx_replica_clear. */
void replica_fixture_init(void);
/** Applies a key and frees the buffer.
 *  @param value the encoded value of the key */
void replica_fixture_apply(const char *key, uint64_t version, struct tmx_buffer *value);
/** Applies a batch that holds one line of the log.
 *  @param number last part of the batch's key */
void replica_fixture_apply_line(const char *number, uint64_t version, const char *line);
#endif
