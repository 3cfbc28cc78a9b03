/* Shared by the files of src/cloud only. */
#ifndef TMX_CLOUD_INTERNAL_H
#define TMX_CLOUD_INTERNAL_H
#include "cloud/cloud.h"

enum { TMX_INSTANCE_BOOTING, TMX_INSTANCE_RUNNING, TMX_INSTANCE_FAILED };
struct tmx_instance { /* a machine that the cloud lists, or that a rental answer named */
  char id[TMX_ID_MAX], type[TMX_ID_MAX];
  int zone, state;
  bool spot;
  double age_s, age_as_of; /* held_s as of the list read at `at` */
  double rented_at;        /* by this controller; 0: from a list */
  double unheard_since;    /* up by the list, but no report */
  unsigned list_pass;      /* list pass that showed it */
  bool deleting;
  UT_hash_handle hh;
};
struct offer_backoff { /* a refused type, zone and kind */
  char type[TMX_ID_MAX];
  int zone;
  bool spot;
  double until, wait_s;
};
struct idle_machine { /* since when a machine has had no task, as seen by this leader */
  char id[TMX_ID_MAX];
  double since;
  unsigned sweep_pass;
  UT_hash_handle hh;
};

struct tmx_cloud {
  const struct tmx_settings *settings;
  struct tmx_replica *replica;
  struct tmx_store *store;
  struct tmx_machine_catalog *catalog;
  struct tmx_peers *peers;
  struct tmx_scheduler *scheduler;
  struct tmx_workers *workers;
  struct tmx_http_client *http;
  double types_read_at, list_read_at, scale_out_at, reclaim_at, call_tokens, call_tokens_at,
      leading_since;
  bool types_read_in_flight, list_read_in_flight, delete_in_flight;
  int scale_outs_in_flight;
  unsigned list_pass;
  char list_cursor[TMX_ID_MAX];
  struct tmx_instance *instances;
  struct idle_machine *idle_machines;
  struct offer_backoff offer_backoffs[TMX_TYPES_MAX * TMX_ZONES_MAX * 2];
  size_t n_offer_backoffs;
  uint64_t next_request_number;
  double demand_by_second[TMX_PEAK_DEMAND_S]; /* CPUs booked and asked for, the most in each of the
                                          last seconds */
  int demand_second;                          /* second of the latest entry */
  double demand_since;                        /* entries have been made without a gap since */
  double drain_chosen_at, usage_logged_at;
  double zone_partitioned_until[TMX_ZONES_MAX]; /* zones that seem cut off */
  double zone_spared_until[TMX_ZONES_MAX];      /* ... and none of it is given up for silence */
};

/* The rate of calls is shared by all controllers; the leader makes nearly all of them. */
bool tmx_cloud_may_call(struct tmx_cloud *cloud);
struct tmx_instance *tmx_cloud_find_instance(struct tmx_cloud *cloud, const char *id);
/* src/cloud/scale_in.c: gives up what is dead, returns what is not needed */
void tmx_cloud_reclaim(struct tmx_cloud *cloud);
void tmx_cloud_record_demand(struct tmx_cloud *cloud, double now);
void tmx_cloud_log_usage(struct tmx_cloud *cloud, double now);
#endif
