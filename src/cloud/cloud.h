/* Shared by the files of src/cloud only. */
#ifndef TMX_CLOUD_H
#define TMX_CLOUD_H
#include "controller.h"

enum { LS_BOOTING, LS_RUNNING, LS_FAILED };
struct listed { /* a machine that the cloud lists, or that a rental answer named */
  char id[TMX_ID_MAX], type[TMX_ID_MAX];
  int zone, state;
  bool spot;
  double held, at;      /* held_s as of the list read at `at` */
  double rented_at;     /* by this controller; 0: from a list */
  double unheard_since; /* up by the list, but no report */
  unsigned pass;        /* list pass that showed it */
  bool deleting;
  UT_hash_handle hh;
};
struct blocked { /* a refused type, zone and kind */
  char type[TMX_ID_MAX];
  int zone;
  bool spot;
  double until, wait;
};
struct empty { /* since when a machine has had no task, as seen by this leader */
  char id[TMX_ID_MAX];
  double since;
  unsigned pass;
  UT_hash_handle hh;
};

struct tmx_cloud {
  struct tmx_ctl *c;
  struct tmx_http_client *http;
  struct tmx_type types[TMX_TYPES_MAX];
  size_t n_types;
  double types_at, list_at, rent_at, sweep_at, tokens, tokens_at, led_since;
  bool types_busy, list_busy, delete_busy;
  int hires_busy;
  unsigned pass;
  char from[TMX_ID_MAX];
  struct listed *listed;
  struct empty *empties;
  struct blocked blocked[TMX_TYPES_MAX * TMX_ZONES_MAX * 2];
  size_t n_blocked;
  uint64_t hire_seq;
  double booked[TMX_PEAK_S]; /* CPUs booked and asked for, the most in each of the last seconds */
  int booked_at;             /* second of the latest entry */
  double demand_since;       /* entries have been made without a gap since */
  double drain_at, use_at;
  double cut_until[TMX_ZONES_MAX];    /* zones that seem cut off */
  double spared_until[TMX_ZONES_MAX]; /* ... and none of it is given up for silence */
};

/* The rate of calls is shared by all controllers; the leader makes nearly all of them. */
bool tmx_cloud_may_call(struct tmx_cloud *k);
struct listed *tmx_cloud_listed(struct tmx_cloud *k, const char *id);
/* src/cloud/returns.c: gives up what is dead, returns what is not needed */
void tmx_cloud_sweep(struct tmx_cloud *k);
void tmx_cloud_note_demand(struct tmx_cloud *k, double now);
void tmx_cloud_log_use(struct tmx_cloud *k, double now);
#endif
