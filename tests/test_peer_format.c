/* Heartbeats between controllers must equal the recordings in tests/data/wire-format byte for byte,
 * and the constants of the wire names must have the literal values that this test repeats. The test
 * guards against a rename in the code that changes a name agreed with users, workers, the cloud or
 * the state service. In the heartbeat of a running controller, the revision and the age of the
 * replica differ between runs, so the test sets both to 0 before it records the heartbeat. */
#include "recording.h"
#include "fake.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "heartbeat.h"
#include "base/log.h"
#include "tmx/wire.h"

static struct tmx_controller *first_controller;

static int setup(void **state) {
  (void)state;
  fake_start();
  first_controller = NULL;
  return 0;
}
static int teardown(void **state) {
  (void)state;
  if (first_controller) stop_controller(first_controller);
  fake_stop();
  return 0;
}

/* ------------------------------------------------------------ names */

static const struct {
  const char *constant, *agreed; /* value of the constant in wire.h, and the agreed name */
} protocol_names[] = {
    {WP_JOBS, "/v2/runs"},
    {WP_CANCEL, "/withdraw"},
    {WP_READY, "/ready"},
    {WP_REPORT, "/hello"},
    {WP_COMMANDS, "/commands"},
    {WP_STATUS, "/show"},
    {WP_TYPES, "/catalog"},
    {WP_MACHINES, "/machines"},
    {WP_DELETE, "/machines/delete"},
    {WP_KV, "/kv"},
    {WP_TXN, "/commit"},
    {WP_LEASES, "/holds"},
    {WP_RENEW, "/extend"},
    {WP_WATCH, "/follow"},
    {W_JOB_PREFIX, "wk-"},
    {W_ID, "id"},
    {W_CLASS, "crew"},
    {W_TEAM, "outfit"},
    {W_KIND, "sort"},
    {W_PRIORITY, "rank"},
    {W_TASKS, "loads"},
    {W_TASK, "load"},
    {W_CPUS, "cpus"},
    {W_GPUS, "gpus"},
    {W_MEM, "mem_gb"},
    {W_IMAGE, "kit"},
    {W_IMAGE_GB, "image_gb"},
    {W_TYPES, "builds"},
    {W_TYPE, "build"},
    {W_ZONE, "yard"},
    {W_ZONES, "yards"},
    {W_ONE_ZONE, "same_place"},
    {W_SPREAD, "spread"},
    {W_SPOT, "loaner"},
    {W_ESTIMATE, "reckon_s"},
    {W_CHECKPOINT, "tally_s"},
    {W_CHECKPOINT_SAVE, "stow_s"},
    {W_DEADLINE, "due_s"},
    {W_DEPENDENCIES, "awaits"},
    {W_STATE, "standing"},
    {W_DONE, "done"},
    {W_RUNNING, "running"},
    {W_MACHINE, "rig"},
    {W_MACHINES, "rigs"},
    {W_ADDR, "addr"},
    {W_SESSION, "shift"},
    {W_SEQUENCE, "tick"},
    {W_TOKEN, "baton"},
    {W_SPOT_NOTICE, "recall_s"},
    {W_ATTEMPT, "try"},
    {W_REASON, "cause"},
    {W_COMMANDS, "orders"},
    {W_OPERATION, "verb"},
    {W_GRACE, "wind_s"},
    {W_REQUEST, "hire"},
    {W_COUNT, "count"},
    {W_AGE, "held_s"},
    {W_HAS_NEXT, "has_next"},
    {W_NAME, "label"},
    {W_CACHE_GB, "cache_gb"},
    {W_FETCH_RATE, "fetch_gb_per_s"},
    {W_PRICE, "hourly"},
    {W_SPOT_PRICE, "market_price"},
    {W_BOOT_S, "boot_s"},
    {W_OWNER, "foreman"},
    {W_KEY, "path"},
    {W_VALUE, "data"},
    {W_VERSION, "stamp"},
    {W_LEASE, "permit"},
    {W_REVISION, "ledger"},
    {W_ITEMS, "entries"},
    {W_EVENTS, "events"},
    {W_IF, "if"},
    {W_THEN, "then"},
    {W_PUT, "write"},
    {W_DELETE, "drop"},
    {W_TTL, "ttl_ms"},
    {WV_ARRAY, "batch"},
    {WV_SERVICE, "service"},
    {WV_PENDING, "pending"},
    {WV_RUNNING, "running"},
    {WV_DONE, "done"},
    {WV_CANCELLED, "withdrawn"},
    {WV_FETCHING, "pulling"},
    {WV_SAVING, "saving"},
    {WV_EXITED, "ended"},
    {WV_START, "start"},
    {WV_STOP, "halt"},
    {WV_FORGET, "reap"},
    {WV_BOOTING, "booting"},
    {WV_FAILED, "failed"},
    {WV_NO_LEASE, "no such lease"},
    {WV_STOPPED, "stopped"},
    {WV_ERROR, "error"},
};

static void protocol_names_keep_their_values(void **state) {
  (void)state;
  for (size_t i = 0; i < sizeof protocol_names / sizeof *protocol_names; i++)
    assert_string_equal(protocol_names[i].constant, protocol_names[i].agreed);
}

/* ------------------------------------------------------------ heartbeats */

static size_t encode_heartbeat(struct tmx_heartbeat *heartbeat, char *out, size_t capacity) {
  XDR xdr;
  xdrmem_create(&xdr, out, (u_int)capacity, XDR_ENCODE);
  assert_true(xdr_tmx_heartbeat(&xdr, heartbeat));
  size_t length = xdr_getpos(&xdr);
  xdr_destroy(&xdr);
  return length;
}

static void decode_heartbeat(struct tmx_heartbeat *heartbeat, char *bytes, size_t length) {
  XDR xdr;
  memset(heartbeat, 0, sizeof *heartbeat);
  xdrmem_create(&xdr, bytes, (u_int)length, XDR_DECODE);
  assert_true(xdr_tmx_heartbeat(&xdr, heartbeat));
  assert_int_equal(xdr_getpos(&xdr), length);
  xdr_destroy(&xdr);
}

static void record_heartbeat(struct recording *recording, const struct tmx_heartbeat *heartbeat) {
  record_line(recording, "%s revision %llu term %llu state_age_ms %u no_workers %d",
              heartbeat->node, (unsigned long long)heartbeat->revision,
              (unsigned long long)heartbeat->term, heartbeat->replica_age_ms,
              heartbeat->reaches_no_workers);
  for (u_int i = 0; i < heartbeat->suspicions.suspicions_len; i++) {
    const struct tmx_heartbeat_suspicion *suspicion = &heartbeat->suspicions.suspicions_val[i];
    record_line(recording, "suspect %s silence_ms %u lost %u unreached_ms %u notice %d",
                suspicion->id, suspicion->silence_ms, suspicion->probes_lost,
                suspicion->unacknowledged_ms, suspicion->spot_notice);
  }
  for (u_int i = 0; i < heartbeat->zones.zones_len; i++) {
    const struct tmx_heartbeat_zone *zone = &heartbeat->zones.zones_val[i];
    record_line(recording, "zone %s machines %u lost %u alive %u", zone->name, zone->machines,
                zone->lost, zone->alive);
  }
}

/* Encodes a heartbeat into `bytes`, and records the bytes and the values that they decode to.
 * Returns the number of bytes. */
static size_t encode_and_record(struct recording *recording, struct tmx_heartbeat *heartbeat,
                                char *bytes, size_t capacity) {
  struct tmx_heartbeat decoded;
  size_t length = encode_heartbeat(heartbeat, bytes, capacity);
  record_bytes(recording, "", (const uint8_t *)bytes, length);
  decode_heartbeat(&decoded, bytes, length);
  record_heartbeat(recording, &decoded);
  xdr_free((xdrproc_t)xdr_tmx_heartbeat, (char *)&decoded);
  return length;
}

static size_t record_full_heartbeat(struct recording *recording, char *bytes, size_t capacity) {
  struct tmx_heartbeat_suspicion suspects[] = {{"n-000001", 1500, 2, 300, 1},
                                               {"n-000002", 2560, 0, 0, 0}};
  struct tmx_heartbeat_zone zones[] = {{"a", 40, 2, 38}, {"b", 7, 1, 5}};
  struct tmx_heartbeat heartbeat = {.node = "hand-1",
                                    .revision = 4711,
                                    .term = 1ull << 33,
                                    .replica_age_ms = 250,
                                    .reaches_no_workers = 1,
                                    .suspicions = {2, suspects},
                                    .zones = {2, zones}};
  return encode_and_record(recording, &heartbeat, bytes, capacity);
}

struct peer_socket { /* receives heartbeats in place of the controller hand-1 */
  int listener, fd;
  struct tmx_buffer received;
};
static struct peer_socket peer;

static void reach_peer_socket(struct tmx_settings *settings) {
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  assert_int_equal(getsockname(peer.listener, (struct sockaddr *)&address, &size), 0);
  snprintf(settings->peers[0].addr, sizeof settings->peers[0].addr, "127.0.0.1:%d",
           ntohs(address.sin_port));
}

static void peer_listen(void) {
  struct sockaddr_in address = {.sin_family = AF_INET};
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  peer = (struct peer_socket){.fd = -1};
  peer.listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_int_equal(bind(peer.listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal(listen(peer.listener, 4), 0);
}

static bool heartbeat_arrived(void *arg) {
  uint8_t chunk[4096];
  (void)arg;
  if (peer.fd < 0) peer.fd = accept4(peer.listener, NULL, NULL, SOCK_NONBLOCK);
  ssize_t length = peer.fd < 0 ? -1 : recv(peer.fd, chunk, sizeof chunk, MSG_DONTWAIT);
  if (length > 0) tmx_buffer_append(&peer.received, chunk, (size_t)length);
  return peer.received.length > 4;
}

/* Records the first message of the controller, which is a length of four bytes in big-endian order
 * and the XDR record. */
static void record_heartbeat_of_the_controller(struct recording *recording) {
  struct tmx_heartbeat sent;
  char bytes[512];
  assert_true(run_loop_until(heartbeat_arrived, NULL));
  const uint8_t *prefix = peer.received.data;
  size_t length =
      (size_t)prefix[0] << 24 | (size_t)prefix[1] << 16 | (size_t)prefix[2] << 8 | prefix[3];
  assert_true(peer.received.length >= 4 + length);
  decode_heartbeat(&sent, (char *)peer.received.data + 4, length);
  sent.revision = 0;
  sent.replica_age_ms = 0;
  record_line(recording, "== as a controller sends it, with a length of %zu bytes before it",
              length);
  encode_and_record(recording, &sent, bytes, sizeof bytes);
  xdr_free((xdrproc_t)xdr_tmx_heartbeat, (char *)&sent);
}

static bool peer_heartbeat_was_received(void *arg) {
  (void)arg;
  return tmx_peers_heartbeat_age(first_controller->peers, "hand-1") < 1;
}

static void send_heartbeat(const char *bytes, size_t length) {
  struct sockaddr_in address;
  uint32_t length_prefix = htonl((uint32_t)length);
  int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
  assert_true(tmx_parse_address(first_controller->settings.peer_listen, &address));
  assert_int_equal(connect(socket_fd, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal(send(socket_fd, &length_prefix, sizeof length_prefix, 0), sizeof length_prefix);
  assert_int_equal(send(socket_fd, bytes, length, 0), length);
  assert_true(run_loop_until(peer_heartbeat_was_received, NULL));
  close(socket_fd);
}

static void heartbeats_keep_their_format(void **state) {
  (void)state;
  struct recording recording = {0};
  char bytes[512];
  peer_listen();
  fake_adjust_settings = reach_peer_socket;
  first_controller = start_controller(0, 2);
  record_line(&recording, "== every field in use");
  size_t length = record_full_heartbeat(&recording, bytes, sizeof bytes);
  record_heartbeat_of_the_controller(&recording);
  assert_false(peer_heartbeat_was_received(NULL));
  send_heartbeat(bytes, length);
  assert_int_equal(tmx_peers_zone_liveness(first_controller->peers, "hand-1")[0].machines, 40);
  assert_int_equal(tmx_peers_zone_liveness(first_controller->peers, "hand-1")[0].lost, 2);
  assert_int_equal(tmx_peers_zone_liveness(first_controller->peers, "hand-1")[0].alive, 38);
  assert_true(tmx_peers_reports_no_workers(first_controller->peers, "hand-1"));
  close(peer.listener);
  close(peer.fd);
  tmx_buffer_free(&peer.received);
  recording_check(&recording, "heartbeats.txt");
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(protocol_names_keep_their_values),
      cmocka_unit_test_setup_teardown(heartbeats_keep_their_format, setup, teardown),
  };
  return RUN_TESTS(tests);
}
