#include "replica_fixture.h"

#include <stdio.h>
#include <string.h>

#include "test.h"

struct tmx_settings settings;
struct tmx_replica replica;

void replica_fixture_init(void) {
  memset(&settings, 0, sizeof settings);
  strcpy(settings.zones[0], "a");
  settings.n_zones = 1;
  strcpy(settings.teams[0].name, "t");
  settings.n_teams = 1;
  tmx_replica_init(&replica, &settings);
}

void replica_fixture_apply(const char *key, uint64_t version, struct tmx_buffer *value) {
  cbor_item_t *parsed = tmx_cbor_parse(value->data, value->length);
  assert_non_null(parsed);
  tmx_replica_apply(&replica, key, version, parsed);
  tmx_cbor_free(parsed);
  tmx_buffer_free(value);
}

void replica_fixture_apply_line(const char *number, uint64_t version, const char *line) {
  struct tmx_buffer value = {0};
  char key[64];
  tmx_cbor_put_map(&value, 1);
  tmx_cbor_put_text(&value, "ops");
  tmx_cbor_put_array(&value, 1);
  tmx_cbor_put_text(&value, line);
  snprintf(key, sizeof key, TMX_KEY_BATCH "h/%s", number);
  replica_fixture_apply(key, version, &value);
}
