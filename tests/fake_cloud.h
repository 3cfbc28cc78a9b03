/** The scripted cloud. It has one machine type, "big", in zone "a"; it refuses to rent machines
 *  (503) and counts the requests. */
#ifndef TMX_FAKE_CLOUD_H
#define TMX_FAKE_CLOUD_H
#include <stdbool.h>
#include <stddef.h>

#include "controller/controller_internal.h"

enum { FAKE_CLOUD_DELETED_MAX = 32 /**< ids of deleted machines that are kept */ };

struct fake_cloud {
  struct tmx_http_server *server;
  bool refuse_delete;                                 /**< deletions are answered with 503 */
  unsigned deletions;                                 /**< machines deleted so far */
  char deleted[FAKE_CLOUD_DELETED_MAX][TMX_ID_BYTES]; /**< their ids, in order */
  unsigned rentals;                                   /**< requests to rent so far */
  size_t listed_machines; /**< the list holds n-100001 and on, 500 a page; 0: it is empty */
  bool repeat_first_page; /**< every page of the list is the first one */
  unsigned pages_served;  /**< pages of the list answered so far */
};

extern struct fake_cloud fake_cloud;

/** Starts the cloud with an empty list. Part of fake_start. */
void fake_cloud_open(void);
/** Stops it. Part of fake_stop. */
void fake_cloud_close(void);

#endif
