/** @file
 *  A fake of the cloud's API. It offers one machine type, "big", in zone "a" and, if the test says
 *  so, in a second zone. It answers each request to rent machines with 503 and counts these
 *  requests. */
#ifndef TMX_FAKE_CLOUD_H
#define TMX_FAKE_CLOUD_H
#include <stdbool.h>
#include <stddef.h>

#include "controller/controller_internal.h"

enum { FAKE_CLOUD_DELETED_MAX = 32 /**< capacity of fake_cloud.deleted */ };

struct fake_cloud {
  struct tmx_http_server *server;
  bool refuse_delete; /**< deletion requests are answered with 503 */
  unsigned deletions; /**< machines deleted so far, counted up to FAKE_CLOUD_DELETED_MAX */
  /** Ids of deleted machines, in order of deletion. */
  char deleted[FAKE_CLOUD_DELETED_MAX][TMX_ID_BYTES];
  const char *second_zone;          /**< it offers its machines there too; NULL: nowhere else */
  unsigned rentals;                 /**< requests to rent machines so far */
  char rental_zone[TMX_NAME_BYTES]; /**< zone of the latest request to rent machines */
  size_t listed_machines; /**< length of the list, whose ids start at n-100001; 500 a page */
  double listed_age_s;    /**< time since the listed machines were rented, s; initially 1 */
  bool repeat_first_page; /**< each request for a page gets the first page */
  unsigned pages_served;  /**< pages of the list sent so far */
};

extern struct fake_cloud fake_cloud;

/** Starts the cloud with an empty machine list. Called by fake_start. */
void fake_cloud_open(void);
/** Stops the cloud. Called by fake_stop. */
void fake_cloud_close(void);

#endif
