#include "config/settings.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct settings_reader {
  char *error;
  size_t error_size;
  bool failed;
};

static void fail(struct settings_reader *reader, const char *where, const char *key,
                 const char *what) {
  if (reader->failed) return;
  reader->failed = true;
  snprintf(reader->error, reader->error_size, "settings: %s%s: %s", where, key, what);
}
static void get_str(struct settings_reader *reader, json_t *o, const char *where, const char *key,
                    char *out) {
  json_t *v = json_object_get(o, key);
  if (!json_is_string(v) || !json_string_length(v))
    fail(reader, where, key, "missing or not a text");
  else if (json_string_length(v) >= TMX_NAME_MAX)
    fail(reader, where, key, "too long");
  else
    strcpy(out, json_string_value(v));
}
static void get_addr(struct settings_reader *reader, json_t *o, const char *where, const char *key,
                     char *out) {
  struct in_addr a;
  char host[TMX_NAME_MAX], *c;
  get_str(reader, o, where, key, out);
  if (reader->failed) return;
  strcpy(host, out);
  c = strrchr(host, ':');
  if (c) *c++ = 0;
  if (!c || inet_pton(AF_INET, host, &a) != 1 || atoi(c) < 0 || atoi(c) > 65535 || !*c)
    fail(reader, where, key, "not an address of the form 10.0.0.1:8080");
}
static double get_num(struct settings_reader *reader, json_t *o, const char *where, const char *key,
                      double lo, double hi) {
  json_t *v = json_object_get(o, key);
  double d = json_is_number(v) ? json_number_value(v) : 0;
  if (!json_is_number(v))
    fail(reader, where, key, "missing or not a number");
  else if (!(d >= lo && d <= hi))
    fail(reader, where, key, "out of range");
  return d;
}
static json_t *get_obj(struct settings_reader *reader, json_t *o, const char *where,
                       const char *key) {
  json_t *v = json_object_get(o, key);
  if (!json_is_object(v)) fail(reader, where, key, "missing or not a map");
  return v;
}
static json_t *get_list(struct settings_reader *reader, json_t *o, const char *where,
                        const char *key, size_t max) {
  json_t *v = json_object_get(o, key);
  if (!json_is_array(v))
    fail(reader, where, key, "missing or not a list");
  else if (json_array_size(v) > max)
    fail(reader, where, key, "too long a list");
  return v;
}
static double opt_num(json_t *o, const char *key) {
  json_t *v = json_object_get(o, key);
  return json_is_number(v) ? json_number_value(v) : 0;
}

/* The limits of the state service; a field that `next` leaves out stays as it is. */
#define RATE_MAX 1e6 /* requests or puts a second */
#define VALUE_KB_MIN 1
#define VALUE_KB_MAX 60 /* below PROTOCOL's 64 KiB for a transaction */
#define TXN_OPS_MIN 4   /* a value, head and the final states of two jobs */
#define TXN_OPS_MAX 1000

static void read_state_limits(struct settings_reader *reader, json_t *state,
                              struct tmx_settings *settings) {
  settings->state_rps = get_num(reader, state, "cluster.state.", "rps", 1, RATE_MAX);
  settings->write_rps = get_num(reader, state, "cluster.state.", "write_rps", 1, RATE_MAX);
  settings->value_kb =
      get_num(reader, state, "cluster.state.", "value_kb", VALUE_KB_MIN, VALUE_KB_MAX);
  settings->txn_ops =
      (int)get_num(reader, state, "cluster.state.", "txn_ops", TXN_OPS_MIN, TXN_OPS_MAX);
}

static double smaller_limit(struct settings_reader *reader, json_t *next, const char *key,
                            double now, double lo, double hi) {
  json_t *v = json_object_get(next, key);
  if (!v || json_is_null(v)) return now;
  double d = get_num(reader, next, "cluster.state.next.", key, lo, hi);
  return d < now ? d : now;
}

/* The limits to come hold from some moment without notice, so what is written keeps within the
 * smaller ones from the start. */
static void read_next_limits(struct settings_reader *reader, json_t *state,
                             struct tmx_settings *settings) {
  json_t *next = json_object_get(state, "next");
  if (!next || json_is_null(next)) return;
  if (!json_is_object(next)) {
    fail(reader, "cluster.state.", "next", "not a map");
    return;
  }
  settings->state_rps = smaller_limit(reader, next, "rps", settings->state_rps, 1, RATE_MAX);
  settings->write_rps = smaller_limit(reader, next, "write_rps", settings->write_rps, 1, RATE_MAX);
  settings->value_kb =
      smaller_limit(reader, next, "value_kb", settings->value_kb, VALUE_KB_MIN, VALUE_KB_MAX);
  settings->txn_ops =
      (int)smaller_limit(reader, next, "txn_ops", settings->txn_ops, TXN_OPS_MIN, TXN_OPS_MAX);
}

static void read_all(struct settings_reader *reader, json_t *o, struct tmx_settings *settings) {
  size_t i;
  json_t *e;
  get_str(reader, o, "", "host_name", settings->node_name);
  get_str(reader, o, "", "location", settings->zone);
  get_addr(reader, o, "", "listen", settings->listen);
  get_addr(reader, o, "", "peer_listen", settings->peer_listen);
  json_t *peers = get_list(reader, o, "", "peers", TMX_MEMBERS_MAX - 1);
  json_array_foreach(peers, i, e) {
    if (reader->failed) return;
    get_str(reader, e, "peers.", "host_name", settings->peers[i].name);
    get_str(reader, e, "peers.", "location", settings->peers[i].zone);
    get_addr(reader, e, "peers.", "address", settings->peers[i].addr);
    settings->n_peers = i + 1;
  }
  json_t *sv = get_obj(reader, o, "", "services");
  get_addr(reader, sv, "services.", "cloud", settings->cloud);
  get_addr(reader, sv, "services.", "state", settings->state);
  json_t *c = get_obj(reader, o, "", "cluster");
  json_t *zones = get_list(reader, c, "cluster.", "zones", TMX_ZONES_MAX);
  if (!reader->failed && !json_array_size(zones)) fail(reader, "cluster.", "zones", "empty");
  json_array_foreach(zones, i, e) {
    if (!json_is_string(e) || json_string_length(e) >= TMX_NAME_MAX) {
      fail(reader, "cluster.", "zones", "not a list of texts");
      return;
    }
    strcpy(settings->zones[i], json_string_value(e));
    settings->n_zones = i + 1;
  }
  json_t *teams = get_list(reader, c, "cluster.", "teams", TMX_TEAMS_MAX);
  json_array_foreach(teams, i, e) {
    if (reader->failed) return;
    struct tmx_team_settings *team = &settings->teams[i];
    get_str(reader, e, "cluster.teams.", "name", team->name);
    team->cpus = opt_num(e, "cpus");
    team->cpus_max = opt_num(e, "cpus_max");
    team->gpus = opt_num(e, "gpus");
    team->gpus_max = opt_num(e, "gpus_max");
    settings->n_teams = i + 1;
  }
  json_t *obj = json_object_get(c, "objectives");
  if (json_array_size(obj) > TMX_OBJECTIVES_MAX)
    fail(reader, "cluster.", "objectives", "too long a list");
  json_array_foreach(obj, i, e) {
    if (reader->failed) return;
    struct tmx_objective *objective = &settings->objectives[settings->n_objectives];
    const char *k = json_string_value(json_object_get(e, "kind"));
    const char *cl = json_string_value(json_object_get(e, "class"));
    snprintf(objective->kind, sizeof objective->kind, "%s", k ? k : "");
    snprintf(objective->class_name, sizeof objective->class_name, "%s", cl ? cl : "");
    objective->within_s = opt_num(e, "within_s");
    settings->n_objectives++;
  }
  json_t *w = get_obj(reader, c, "cluster.", "workers");
  settings->report_s = get_num(reader, w, "cluster.workers.", "report_s", 0.1, 600);
  settings->lease_s = get_num(reader, w, "cluster.workers.", "lease_s", 1, 3600);
  settings->cancel_s = get_num(reader, w, "cluster.workers.", "cancel_s", 1, 7200);
  /* The freshness bound is what lies between them: it must leave time for a read of the state. */
  if (!reader->failed && tmx_fresh_bound(settings) < TMX_FRESH_MIN_S)
    fail(
        reader, "cluster.workers.", "cancel_s",
        "exceeds lease_s by too little to renew leases safely: 3 s are needed, more for long ones");
  json_t *st = get_obj(reader, c, "cluster.", "state");
  read_state_limits(reader, st, settings);
  if (!reader->failed) read_next_limits(reader, st, settings);
  json_t *cl = get_obj(reader, c, "cluster.", "cloud");
  settings->cloud_rps = get_num(reader, cl, "cluster.cloud.", "rps", 0.1, 1e6);
  settings->list_lag_s = get_num(reader, cl, "cluster.cloud.", "list_lag_s", 0, 600);
  json_t *q = get_obj(reader, c, "cluster.", "quota");
  settings->core_share = get_num(reader, q, "cluster.quota.", "core_share", 0.01, 1024);
  settings->ram_mb = get_num(reader, q, "cluster.quota.", "ram_mb", 32, 1e7);
  settings->sockets = (int)get_num(reader, q, "cluster.quota.", "sockets", 64, 1e6);
  settings->clock_off_ms = get_num(reader, c, "cluster.", "clock_off_ms", 0, 1e6);
}

bool tmx_settings_parse(struct tmx_settings *settings, const char *text, char *err, size_t cap) {
  struct settings_reader reader = {.error = err, .error_size = cap};
  json_error_t je;
  memset(settings, 0, sizeof *settings);
  tmx_operator_defaults(&settings->operators);
  json_t *o = json_loads(text, 0, &je);
  if (!json_is_object(o)) {
    snprintf(err, cap, "settings: not a JSON map: %s", o ? "another kind of value" : je.text);
    json_decref(o);
    return false;
  }
  read_all(&reader, o, settings);
  json_decref(o);
  return !reader.failed;
}

bool tmx_settings_load(struct tmx_settings *settings, const char *path, char *err, size_t cap) {
  FILE *f = fopen(path, "r");
  if (!f) {
    snprintf(err, cap, "settings: %s: cannot be opened", path);
    return false;
  }
  char *text = calloc(1, 1 << 20);
  size_t n = text ? fread(text, 1, (1 << 20) - 1, f) : 0;
  fclose(f);
  bool ok = text && n && tmx_settings_parse(settings, text, err, cap);
  if (!n) snprintf(err, cap, "settings: %s: empty", path);
  free(text);
  return ok;
}

void tmx_operator_defaults(struct tmx_operator_settings *operators) {
  operators->idle_return_s = TMX_IDLE_RETURN_S;
  operators->headroom = TMX_HEADROOM;
  operators->silent_s = 0;
  operators->admission = (struct tmx_admission_settings){.backlog_s = TMX_ADMISSION_BACKLOG_S,
                                                         .reserve = TMX_ADMISSION_RESERVE,
                                                         .start_s = TMX_ADMISSION_START_S};
}

static int to_share(const struct tmx_settings *settings) {
  return settings->sockets -
         (settings->sockets < 2 * TMX_OWN_SOCKETS ? settings->sockets / 2 : TMX_OWN_SOCKETS);
}
int tmx_sockets_out(const struct tmx_settings *settings) {
  return (int)(to_share(settings) * TMX_WORKER_CONNS);
}
int tmx_sockets_in(const struct tmx_settings *settings) {
  return to_share(settings) - tmx_sockets_out(settings);
}

size_t tmx_value_room(const struct tmx_settings *settings) {
  return (size_t)(settings->value_kb * 1024 * TMX_VALUE_SHARE) - TMX_JSON_FRAME;
}

double tmx_fresh_bound(const struct tmx_settings *settings) {
  double margin = TMX_CLOCK_DRIFT * settings->cancel_s + TMX_FRESH_MARGIN_S / 2;
  return settings->cancel_s - settings->lease_s -
         (margin > TMX_FRESH_MARGIN_S ? margin : TMX_FRESH_MARGIN_S);
}

int tmx_node_zone(const struct tmx_settings *settings, const char *node) {
  if (!strcmp(node, settings->node_name)) return tmx_zone_index(settings, settings->zone);
  for (size_t i = 0; i < settings->n_peers; i++)
    if (!strcmp(node, settings->peers[i].name))
      return tmx_zone_index(settings, settings->peers[i].zone);
  return -1;
}

int tmx_zone_index(const struct tmx_settings *settings, const char *zone) {
  for (size_t i = 0; i < settings->n_zones; i++)
    if (!strcmp(settings->zones[i], zone)) return (int)i;
  return -1;
}

int tmx_team_index(const struct tmx_settings *settings, const char *team) {
  for (size_t i = 0; i < settings->n_teams; i++)
    if (!strcmp(settings->teams[i].name, team)) return (int)i;
  return -1;
}
