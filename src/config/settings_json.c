/* Reads the platform's settings from JSON. If several fields are invalid, the error message names
 * the one that is read first. */
#include <jansson.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "config/settings.h"
#include "config/settings_error_internal.h"
#include "net/address.h"

enum {
  FILE_BYTES_MAX = 1 << 20, /* maximum size of a settings file, with the terminating null */
  RATE_MAX = 1000000,       /* requests or puts per second */
  VALUE_KB_MIN = 1,
  VALUE_KB_MAX = 60, /* below the protocol's limit of 64 KiB for a transaction */
  TXN_OPS_MIN = 4,   /* one value, the head and the final states of two jobs */
  TXN_OPS_MAX = 1000,
};

/* A map in the settings. If the map is missing or invalid, `map` is NULL or another kind of value.
 * Reading a required field from it then fails, and only the first error is reported. */
struct section {
  struct settings_error *error;
  const json_t *map;
  const char *path; /* prefix of the keys in error messages: empty or ends with a dot */
};

static void record_error(const struct section *section, const char *key, const char *reason) {
  tmx_settings_set_error(section->error, section->path, key, reason);
}

/* Reads a required, non-empty text into `out`, which has TMX_NAME_BYTES bytes. */
static void read_text(const struct section *section, const char *key, char *out) {
  const json_t *value = json_object_get(section->map, key);
  if (!json_is_string(value) || !json_string_length(value))
    record_error(section, key, "missing or not a text");
  else if (json_string_length(value) >= TMX_NAME_BYTES)
    record_error(section, key, "too long");
  else
    strcpy(out, json_string_value(value));
}

static bool is_address(const char *text) {
  struct sockaddr_in address;
  if (!tmx_parse_address(text, &address)) return false;
  const char *port = strrchr(text, ':') + 1;
  return *port && atoi(port) >= 0 && atoi(port) <= UINT16_MAX;
}

/* Reads a required address into `out`, which has TMX_NAME_BYTES bytes. */
static void read_address(const struct section *section, const char *key, char *out) {
  read_text(section, key, out);
  if (!section->error->is_set && !is_address(out))
    record_error(section, key, "not an address of the form 10.0.0.1:8080");
}

static struct section read_section(const struct section *parent, const char *key,
                                   const char *path) {
  const json_t *map = json_object_get(parent->map, key);
  if (!json_is_object(map)) record_error(parent, key, "missing or not a map");
  return (struct section){.error = parent->error, .map = map, .path = path};
}

/* Reads a list of at most `max` items. Returns NULL on an error, so that callers never read more
 * items than they have space for. */
static const json_t *read_list(const struct section *section, const char *key, size_t max) {
  const json_t *list = json_object_get(section->map, key);
  if (!json_is_array(list)) {
    record_error(section, key, "missing or not a list");
    return NULL;
  }
  if (json_array_size(list) > max) {
    record_error(section, key, "too long a list");
    return NULL;
  }
  return list;
}

static double optional_number(const json_t *map, const char *key) {
  const json_t *value = json_object_get(map, key);
  return json_is_number(value) ? json_number_value(value) : 0;
}

enum number_kind {
  NUMBER_DOUBLE,  /* stored as a double */
  NUMBER_INTEGER, /* stored as an int, rounded towards zero */
};

/* A required number: its key, its valid range, and its type and offset in struct tmx_settings. */
struct number_field {
  const char *key;
  double min, max;
  enum number_kind kind;
  size_t offset;
};

#define SETTING_OFFSET(field) offsetof(struct tmx_settings, field)

static const struct number_field worker_fields[] = {
    {"report_s", 0.1, 600, NUMBER_DOUBLE, SETTING_OFFSET(report_s)},
    {"lease_s", 1, 3600, NUMBER_DOUBLE, SETTING_OFFSET(lease_s)},
    {"cancel_s", 1, 7200, NUMBER_DOUBLE, SETTING_OFFSET(cancel_s)},
};

static const struct number_field state_fields[] = {
    {"rps", 1, RATE_MAX, NUMBER_DOUBLE, SETTING_OFFSET(state_rps)},
    {"write_rps", 1, RATE_MAX, NUMBER_DOUBLE, SETTING_OFFSET(write_rps)},
    {"value_kb", VALUE_KB_MIN, VALUE_KB_MAX, NUMBER_DOUBLE, SETTING_OFFSET(value_kb)},
    {"txn_ops", TXN_OPS_MIN, TXN_OPS_MAX, NUMBER_INTEGER, SETTING_OFFSET(txn_ops)},
};

static const struct number_field cloud_fields[] = {
    {"rps", 0.1, 1e6, NUMBER_DOUBLE, SETTING_OFFSET(cloud_rps)},
    {"list_lag_s", 0, 600, NUMBER_DOUBLE, SETTING_OFFSET(list_lag_s)},
};

static const struct number_field quota_fields[] = {
    {"core_share", 0.01, 1024, NUMBER_DOUBLE, SETTING_OFFSET(core_share)},
    {"ram_mb", 32, 1e7, NUMBER_DOUBLE, SETTING_OFFSET(ram_mb)},
    {"sockets", 64, 1e6, NUMBER_INTEGER, SETTING_OFFSET(sockets)},
};

static const struct number_field cluster_fields[] = {
    {"clock_off_ms", 0, 1e6, NUMBER_DOUBLE, SETTING_OFFSET(clock_off_ms)},
};

#define COUNT_OF(table) (sizeof(table) / sizeof(table)[0])

static double get_number(const struct tmx_settings *settings, const struct number_field *field) {
  const char *number = (const char *)settings + field->offset;
  switch (field->kind) {
    case NUMBER_DOUBLE:
      return *(const double *)number;
    case NUMBER_INTEGER:
      return *(const int *)number;
  }
  return 0;
}

static void set_number(struct tmx_settings *settings, const struct number_field *field,
                       double value) {
  char *number = (char *)settings + field->offset;
  switch (field->kind) {
    case NUMBER_DOUBLE:
      *(double *)number = value;
      break;
    case NUMBER_INTEGER:
      *(int *)number = (int)value;
      break;
  }
}

/* Returns false and records an error if the number is missing or out of range. */
static bool read_number(const struct section *section, const struct number_field *field,
                        double *out) {
  const json_t *value = json_object_get(section->map, field->key);
  if (!json_is_number(value)) {
    record_error(section, field->key, "missing or not a number");
    return false;
  }
  *out = json_number_value(value);
  if (*out >= field->min && *out <= field->max) return true;
  record_error(section, field->key, "out of range");
  return false;
}

static void read_numbers(const struct section *section, const struct number_field *fields,
                         size_t count, struct tmx_settings *settings) {
  double value;
  for (size_t i = 0; i < count; i++)
    if (read_number(section, &fields[i], &value)) set_number(settings, &fields[i], value);
}

/* Applies the announced limits of the store. They take effect at an unknown time without notice, so
 * the controller observes the smaller of the current and the announced limit from the start. A
 * limit that is missing in `next` does not change. */
static void read_next_state_limits(const struct section *state, struct tmx_settings *settings) {
  const json_t *map = json_object_get(state->map, "next");
  if (!map || json_is_null(map)) return;
  if (!json_is_object(map)) {
    record_error(state, "next", "not a map");
    return;
  }
  const struct section next = {state->error, map, "cluster.state.next."};
  for (size_t i = 0; i < COUNT_OF(state_fields); i++) {
    const struct number_field *field = &state_fields[i];
    const json_t *limit = json_object_get(map, field->key);
    double value;
    if (!limit || json_is_null(limit) || !read_number(&next, field, &value)) continue;
    if (value < get_number(settings, field)) set_number(settings, field, value);
  }
}

static void read_peers(const struct section *root, struct tmx_settings *settings) {
  const json_t *list = read_list(root, "peers", TMX_MEMBERS_MAX - 1), *item;
  size_t i;
  json_array_foreach(list, i, item) {
    const struct section section = {root->error, item, "peers."};
    struct tmx_peer_settings *peer = &settings->peers[i];
    read_text(&section, "host_name", peer->name);
    read_text(&section, "location", peer->zone);
    read_address(&section, "address", peer->addr);
    settings->n_peers = i + 1;
  }
}

static void read_services(const struct section *root, struct tmx_settings *settings) {
  const struct section services = read_section(root, "services", "services.");
  read_address(&services, "cloud", settings->cloud_address);
  read_address(&services, "state", settings->store_address);
}

static void read_zones(const struct section *cluster, struct tmx_settings *settings) {
  const json_t *list = read_list(cluster, "zones", TMX_ZONES_MAX), *item;
  size_t i;
  if (!json_array_size(list)) record_error(cluster, "zones", "empty");
  json_array_foreach(list, i, item) {
    if (!json_is_string(item) || json_string_length(item) >= TMX_NAME_BYTES) {
      record_error(cluster, "zones", "not a list of texts");
      return;
    }
    strcpy(settings->zones[i], json_string_value(item));
    settings->n_zones = i + 1;
  }
}

static void read_teams(const struct section *cluster, struct tmx_settings *settings) {
  const json_t *list = read_list(cluster, "teams", TMX_TEAMS_MAX), *item;
  size_t i;
  json_array_foreach(list, i, item) {
    const struct section section = {cluster->error, item, "cluster.teams."};
    struct tmx_team_settings *team = &settings->teams[i];
    read_text(&section, "name", team->name);
    team->cpus = optional_number(item, "cpus");
    team->cpus_max = optional_number(item, "cpus_max");
    team->gpus = optional_number(item, "gpus");
    team->gpus_max = optional_number(item, "gpus_max");
    settings->n_teams = i + 1;
  }
}

/* Copies an optional text and truncates it to the capacity. A missing text is copied as empty. */
static void copy_optional_text(const json_t *map, const char *key, char *out, size_t capacity) {
  const char *text = json_string_value(json_object_get(map, key));
  snprintf(out, capacity, "%s", text ? text : "");
}

/* Reads the objectives, which are optional. A value that is not a list counts as missing. */
static void read_objectives(const struct section *cluster, struct tmx_settings *settings) {
  const json_t *list = json_object_get(cluster->map, "objectives"), *item;
  size_t i;
  if (json_array_size(list) > TMX_OBJECTIVES_MAX) {
    record_error(cluster, "objectives", "too long a list");
    return;
  }
  json_array_foreach(list, i, item) {
    struct tmx_objective *objective = &settings->objectives[i];
    copy_optional_text(item, "kind", objective->kind, sizeof objective->kind);
    copy_optional_text(item, "class", objective->class_name, sizeof objective->class_name);
    objective->within_s = optional_number(item, "within_s");
    settings->n_objectives = i + 1;
  }
}

static void read_workers(const struct section *cluster, struct tmx_settings *settings) {
  const struct section workers = read_section(cluster, "workers", "cluster.workers.");
  read_numbers(&workers, worker_fields, COUNT_OF(worker_fields), settings);
  /* The replica's maximum age for renewing leases is the difference between cancel_s and lease_s
   * less a margin. It must leave enough time to read the store's revision. */
  if (!workers.error->is_set && tmx_renewal_replica_age_max(settings) < TMX_FRESHNESS_BOUND_MIN_S)
    record_error(
        &workers, "cancel_s",
        "exceeds lease_s by too little to renew leases safely: 3 s are needed, more for long "
        "ones");
}

static void read_state(const struct section *cluster, struct tmx_settings *settings) {
  const struct section state = read_section(cluster, "state", "cluster.state.");
  read_numbers(&state, state_fields, COUNT_OF(state_fields), settings);
  read_next_state_limits(&state, settings);
}

static void read_cluster(const struct section *root, struct tmx_settings *settings) {
  const struct section cluster = read_section(root, "cluster", "cluster.");
  read_zones(&cluster, settings);
  read_teams(&cluster, settings);
  read_objectives(&cluster, settings);
  read_workers(&cluster, settings);
  read_state(&cluster, settings);
  const struct section cloud = read_section(&cluster, "cloud", "cluster.cloud.");
  read_numbers(&cloud, cloud_fields, COUNT_OF(cloud_fields), settings);
  const struct section quota = read_section(&cluster, "quota", "cluster.quota.");
  read_numbers(&quota, quota_fields, COUNT_OF(quota_fields), settings);
  read_numbers(&cluster, cluster_fields, COUNT_OF(cluster_fields), settings);
}

static void read_root(const struct section *root, struct tmx_settings *settings) {
  read_text(root, "host_name", settings->node_name);
  read_text(root, "location", settings->zone);
  read_address(root, "listen", settings->listen);
  read_address(root, "peer_listen", settings->peer_listen);
  read_peers(root, settings);
  read_services(root, settings);
  read_cluster(root, settings);
}

static bool parse(struct tmx_settings *settings, const char *text, struct settings_error *error) {
  json_error_t syntax_error;
  memset(settings, 0, sizeof *settings);
  tmx_operator_settings_set_defaults(&settings->operators);
  json_t *value = json_loads(text, 0, &syntax_error);
  const struct section root = {error, value, ""};
  if (json_is_object(value))
    read_root(&root, settings);
  else
    record_error(&root, "not a JSON map", value ? "another kind of value" : syntax_error.text);
  json_decref(value);
  return !error->is_set;
}

bool tmx_settings_parse(struct tmx_settings *settings, const char *text, char *error,
                        size_t error_capacity) {
  struct settings_error first_error = {
      .source = "settings", .text = error, .capacity = error_capacity};
  return parse(settings, text, &first_error);
}

/* Returns the file's contents, which the caller frees. Returns NULL and records an error if the
 * file cannot be opened or is empty. */
static char *read_file(const char *path, struct settings_error *error) {
  FILE *file = fopen(path, "r");
  if (!file) {
    tmx_settings_set_error(error, "", path, "cannot be opened");
    return NULL;
  }
  char *text = tmx_allocate(1, FILE_BYTES_MAX);
  size_t length = fread(text, 1, FILE_BYTES_MAX - 1, file);
  fclose(file);
  if (length) return text;
  tmx_settings_set_error(error, "", path, "empty");
  free(text);
  return NULL;
}

bool tmx_settings_load(struct tmx_settings *settings, const char *path, char *error,
                       size_t error_capacity) {
  struct settings_error first_error = {
      .source = "settings", .text = error, .capacity = error_capacity};
  char *text = read_file(path, &first_error);
  if (!text) return false;
  bool is_valid = parse(settings, text, &first_error);
  free(text);
  return is_valid;
}
