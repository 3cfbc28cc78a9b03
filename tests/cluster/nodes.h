/* The controllers of a cluster on loopback: real processes, killed, paused and started again, and
 * the links between them and all others. */
#ifndef CLUSTER_NODES_H
#define CLUSTER_NODES_H
#include <sys/types.h>

#include "fake.h"

struct node {
  pid_t pid;      /* 0: it does not run */
  int port;       /* where it listens for users and workers */
  double back_at; /* when it is started again, or goes on; 0: not due */
  bool paused;
  double cpu; /* s, when it was last looked at */
  struct tmx_http_client *users, *reports;
};
extern struct node node[FAKE_NODES];

/* operator_config: TOML; NULL: none. adjust: changes the settings of every controller. */
void nodes_open(int count, const char *operator_config,
                void (*adjust)(struct tmx_settings *settings), int connections);
void node_begin(int k);
void nodes_close(void); /* ends the processes */
/* "kill 1 5": controller 1 ends and is back 5 s later; "pause 1 5"; "refuse state 1 5": the links
 * of controller 1 to the state (peers, users, workers) refuse for 5 s; "cut", "delay". false:
 * unknown. */
bool nodes_trouble(const char *text);
void nodes_tick(void); /* ends the troubles that are due to end */
/* s of processor time, and MB held now and at most */
double node_used(int k, double *mb, double *peak);
#endif
