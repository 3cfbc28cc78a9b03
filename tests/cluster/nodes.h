/** The controllers of a cluster on loopback. They are processes that can be killed, paused and
 *  started again; the links from and to each of them can fail. */
#ifndef CLUSTER_NODES_H
#define CLUSTER_NODES_H
#include <sys/types.h>

#include "fake.h"

/** One controller. */
struct node {
  pid_t pid;         /**< 0: it does not run */
  int port;          /**< where it listens for users and workers */
  double resumes_at; /**< steady clock, s: when it is started again or continued; 0: not due */
  bool paused;
  double cpu_s;                    /**< processor time when it was last measured */
  struct tmx_http_client *users;   /**< for the requests of users, through its link */
  struct tmx_http_client *reports; /**< for the heartbeats of workers, through its link */
};

/** By index; those behind the count of nodes_open are empty. */
extern struct node node[FAKE_CONTROLLERS_MAX];

/** Starts the controllers, with links between them, the store, the users and the workers.
 *  @param operator_config path of a TOML file for all of them; NULL: none
 *  @param adjust changes the settings of each
 *  @param connections for heartbeats, at most, to each */
void nodes_open(int count, const char *operator_config,
                void (*adjust)(struct tmx_settings *settings), int connections);
/** Starts the process of a controller. */
void node_start(int index);
/** Ends the processes and removes their settings. */
void nodes_close(void);

/** Starts a failure:
 *  - "kill 1 5": controller 1 is killed and started again 5 s later;
 *  - "pause 1 5": it is stopped for 5 s;
 *  - "refuse state 1 5": its links to the store refuse connections for 5 s. In place of "refuse":
 *    "cut", "delay"; in place of "state": "peers", "users", "workers".
 *  @return false if the text is none of these */
bool nodes_inject_failure(const char *text);
/** Ends the failures that are due to end. */
void nodes_end_failures(void);

/** Measures a controller.
 *  @param memory_mb resident now
 *  @param peak_memory_mb resident at most
 *  @return processor time since its start, s */
double node_resources_used(int index, double *memory_mb, double *peak_memory_mb);

#endif
