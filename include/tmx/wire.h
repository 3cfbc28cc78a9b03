/** @file
 * The names used in messages. This is the only file that maps the terms of the code (class, team,
 * task, attempt, fencing token, incarnation, lease, zone, spot, image) to the words of the
 * protocol. The prefix WP_ marks paths, W_ keys of maps, and WV_ values of such keys. The
 * exceptions are W_JOB_PREFIX, which is a prefix of ids, and WV_NO_LEASE, which is an error text. A
 * name that several messages use is listed with the first of them. docs/naming.md explains the
 * terms. */
#ifndef TMX_WIRE_H
#define TMX_WIRE_H

/* Paths that a controller serves to users, the load balancer and workers. */
#define WP_JOBS "/v2/runs"
#define WP_CANCEL "/withdraw"
#define WP_READY "/ready"
#define WP_REPORT "/hello"

/* Paths that a worker serves. */
#define WP_COMMANDS "/commands"
#define WP_STATUS "/show"

/* Paths that the cloud serves. */
#define WP_TYPES "/catalog"
#define WP_MACHINES "/machines"
#define WP_DELETE "/machines/delete"

/* Paths that the key-value store serves. */
#define WP_KV "/kv"
#define WP_TXN "/commit"
#define WP_LEASES "/holds"
#define WP_RENEW "/extend"
#define WP_WATCH "/follow"

/* Prefix of every job id. */
#define W_JOB_PREFIX "wk-"

/* Keys of a submission. Heartbeats and the cloud's lists use many of them as well. */
#define W_ID "id"
#define W_CLASS "crew"
#define W_TEAM "outfit"
#define W_KIND "sort"
#define W_PRIORITY "rank"
#define W_TASKS "loads"
#define W_TASK "load"
#define W_CPUS "cpus"
#define W_GPUS "gpus"
#define W_MEM "mem_gb"
#define W_IMAGE "kit"
#define W_IMAGE_GB "image_gb"
#define W_TYPES "builds"
#define W_TYPE "build"
#define W_ZONE "yard"
#define W_ZONES "yards"
#define W_ONE_ZONE "same_place"
#define W_SPREAD "spread"
#define W_SPOT "loaner"
#define W_ESTIMATE "reckon_s"
#define W_CHECKPOINT "tally_s"
#define W_CHECKPOINT_SAVE "stow_s"
#define W_DEADLINE "due_s"
#define W_DEPENDENCIES "awaits"

/* Keys of the response to a poll. */
#define W_STATE "standing"
#define W_DONE "done"
#define W_RUNNING "running"

/* Keys of a worker's heartbeat. */
#define W_MACHINE "rig"
#define W_MACHINES "rigs"
#define W_ADDR "addr"
#define W_SESSION "shift"
#define W_SEQUENCE "tick"
#define W_TOKEN "baton"
#define W_SPOT_NOTICE "recall_s"
#define W_ATTEMPT "try"
#define W_REASON "cause"

/* Keys of commands to a worker. */
#define W_COMMANDS "orders"
#define W_OPERATION "verb"
#define W_GRACE "wind_s"

/* Keys of rental requests, of the list of machines and of the list of machine types. */
#define W_REQUEST "hire"
#define W_COUNT "count"
#define W_AGE "held_s"
#define W_HAS_NEXT "has_next"
#define W_NAME "label"
#define W_CACHE_GB "cache_gb"
#define W_FETCH_RATE "fetch_gb_per_s"
#define W_PRICE "hourly"
#define W_SPOT_PRICE "market_price"
#define W_BOOT_S "boot_s"

/* Key of a 421 response: the controller to which a worker is redirected, its owner. */
#define W_OWNER "foreman"

/* Keys of messages of the key-value store. */
#define W_KEY "path"
#define W_VALUE "data"
#define W_VERSION "stamp"
#define W_LEASE "permit"
#define W_REVISION "ledger"
#define W_ITEMS "entries"
#define W_EVENTS "events"
#define W_IF "if"
#define W_THEN "then"
#define W_PUT "write"
#define W_DELETE "drop"
#define W_TTL "ttl_ms"

/* Values of W_KIND. */
#define WV_ARRAY "batch"
#define WV_SERVICE "service"

/* Values of W_STATE for jobs and tasks; a running machine has WV_RUNNING, too. */
#define WV_PENDING "pending"
#define WV_RUNNING "running"
#define WV_DONE "done"
#define WV_CANCELLED "withdrawn"
#define WV_FETCHING "pulling"
#define WV_SAVING "saving"
#define WV_EXITED "ended"

/* Values of W_OPERATION. */
#define WV_START "start"
#define WV_STOP "halt"
#define WV_FORGET "reap"

/* Further values of W_STATE, for machines in the cloud's list. */
#define WV_BOOTING "booting"
#define WV_FAILED "failed"

/* Error of the key-value store for a put with an expired lease. */
#define WV_NO_LEASE "no such lease"

/* Values of W_REASON, in addition to WV_DONE. */
#define WV_STOPPED "stopped"
#define WV_ERROR "error"

#endif
