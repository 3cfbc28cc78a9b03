/** @file The controllers of a cluster on the loopback interface. They are processes that can be
 * killed, paused and restarted, and the links from and to each of them can fail. */
#ifndef CLUSTER_NODES_H
#define CLUSTER_NODES_H
#include <sys/types.h>

#include "fake.h"

/** One controller. */
struct node {
  pid_t pid;         /**< 0: not running */
  int port;          /**< on which it listens for users and workers */
  double resumes_at; /**< time of its restart or continuation, steady clock, s; 0: none is due */
  bool paused;       /**< stopped by SIGSTOP */
  double cpu_s;      /**< processor time at the last measurement, s */
  struct tmx_http_client *users;   /**< client for the requests of users, through the link */
  struct tmx_http_client *reports; /**< client for the heartbeats of workers, through the link */
};

/** The controllers by index. Entries from the count of nodes_open on are empty. */
extern struct node cluster_nodes[FAKE_CONTROLLERS_MAX];

/** Starts the controllers, and links between them and the store, the users and the workers.
 *  @param count number of controllers
 *  @param operator_config path of the operator settings (TOML) of all controllers; NULL: none
 *  @param adjust called to change the settings of each controller
 *  @param connections maximum number of connections for heartbeats to each controller */
void nodes_open(int count, const char *operator_config,
                void (*adjust)(struct tmx_settings *settings), int connections);
/** Starts the process of a controller. */
void node_start(int index);
/** Kills the processes and removes their settings files. */
void nodes_close(void);

/** Starts a failure that `text` describes:
 *  - "kill 1 5": controller 1 is killed and restarted after 5 s;
 *  - "pause 1 5": controller 1 is paused for 5 s;
 *  - "refuse state 1 5": the link of controller 1 to the store refuses connections for 5 s. Other
 *    failures are "cut" and "delay"; other destinations are "peers", "users" and "workers".
 *  @return false if the text has none of these forms */
bool nodes_inject_failure(const char *text);
/** Ends the failures whose duration has passed. */
void nodes_end_failures(void);

/** Measures the resources that a controller uses.
 *  @param memory_mb receives the resident memory, MB
 *  @param peak_memory_mb receives the peak of the resident memory, MB
 *  @return processor time since the start of the process, s */
double node_resources_used(int index, double *memory_mb, double *peak_memory_mb);

#endif
