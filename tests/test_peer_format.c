/* Heartbeats between controllers, byte for byte as recorded in tests/data/wire-format, and the
 * names of the protocol, which stand here once more, as literals: whatever the code calls them,
 * their values are agreed with others. In the heartbeat of a running controller its revision and
 * the age of its state differ from run to run and are set to 0 before it is compared. */
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

static int setup(void **st) {
  (void)st;
  fake_start();
  first_controller = NULL;
  return 0;
}
static int teardown(void **st) {
  (void)st;
  if (first_controller) stop_controller(first_controller);
  fake_stop();
  return 0;
}

/* ------------------------------------------------------------ names */

static const struct {
  const char *used, *agreed;
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

static void names_of_the_protocol(void **st) {
  (void)st;
  for (size_t i = 0; i < sizeof protocol_names / sizeof *protocol_names; i++)
    assert_string_equal(protocol_names[i].used, protocol_names[i].agreed);
}

/* ------------------------------------------------------------ heartbeats */

static size_t encode_heartbeat(struct tmx_heartbeat *beat, char *out, size_t cap) {
  XDR x;
  xdrmem_create(&x, out, (u_int)cap, XDR_ENCODE);
  assert_true(xdr_tmx_heartbeat(&x, beat));
  size_t n = xdr_getpos(&x);
  xdr_destroy(&x);
  return n;
}

static void decode_heartbeat(struct tmx_heartbeat *beat, char *bytes, size_t n) {
  XDR x;
  memset(beat, 0, sizeof *beat);
  xdrmem_create(&x, bytes, (u_int)n, XDR_DECODE);
  assert_true(xdr_tmx_heartbeat(&x, beat));
  assert_int_equal(xdr_getpos(&x), n);
  xdr_destroy(&x);
}

static void record_heartbeat(struct recording *r, const struct tmx_heartbeat *b) {
  record_line(r, "%s revision %llu term %llu state_age_ms %u no_workers %d", b->node,
              (unsigned long long)b->revision, (unsigned long long)b->term, b->replica_age_ms,
              b->reaches_no_workers);
  for (u_int i = 0; i < b->suspicions.suspicions_len; i++) {
    const struct tmx_heartbeat_suspicion *s = &b->suspicions.suspicions_val[i];
    record_line(r, "suspect %s silence_ms %u lost %u unreached_ms %u notice %d", s->id,
                s->silence_ms, s->probes_lost, s->unacknowledged_ms, s->spot_notice);
  }
  for (u_int i = 0; i < b->zones.zones_len; i++) {
    const struct tmx_heartbeat_zone *z = &b->zones.zones_val[i];
    record_line(r, "zone %s machines %u lost %u alive %u", z->name, z->machines, z->lost, z->alive);
  }
}

/* Encodes it, records its bytes, and records what they are read back as. */
static size_t record_encoded(struct recording *r, struct tmx_heartbeat *beat, char *bytes,
                             size_t cap) {
  struct tmx_heartbeat back;
  size_t n = encode_heartbeat(beat, bytes, cap);
  record_bytes(r, "", (const uint8_t *)bytes, n);
  decode_heartbeat(&back, bytes, n);
  record_heartbeat(r, &back);
  xdr_free((xdrproc_t)xdr_tmx_heartbeat, (char *)&back);
  return n;
}

static size_t full_heartbeat(struct recording *r, char *bytes, size_t cap) {
  struct tmx_heartbeat_suspicion suspects[] = {{"n-000001", 1500, 2, 300, 1},
                                               {"n-000002", 2560, 0, 0, 0}};
  struct tmx_heartbeat_zone zones[] = {{"a", 40, 2, 38}, {"b", 7, 1, 5}};
  struct tmx_heartbeat beat = {.node = "hand-1",
                               .revision = 4711,
                               .term = 1ull << 33,
                               .replica_age_ms = 250,
                               .reaches_no_workers = 1,
                               .suspicions = {2, suspects},
                               .zones = {2, zones}};
  return record_encoded(r, &beat, bytes, cap);
}

struct peer_socket { /* stands for hand-1 */
  int listener, fd;
  struct tmx_buffer in;
};
static struct peer_socket peer;

static void reach_peer_socket(struct tmx_settings *s) {
  struct sockaddr_in at;
  socklen_t n = sizeof at;
  assert_int_equal(getsockname(peer.listener, (struct sockaddr *)&at, &n), 0);
  snprintf(s->peers[0].addr, sizeof s->peers[0].addr, "127.0.0.1:%d", ntohs(at.sin_port));
}

static void peer_listen(void) {
  struct sockaddr_in at = {.sin_family = AF_INET};
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  peer = (struct peer_socket){.fd = -1};
  peer.listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_int_equal(bind(peer.listener, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal(listen(peer.listener, 4), 0);
}

static bool heartbeat_arrived(void *arg) {
  uint8_t in[4096];
  (void)arg;
  if (peer.fd < 0) peer.fd = accept4(peer.listener, NULL, NULL, SOCK_NONBLOCK);
  ssize_t k = peer.fd < 0 ? -1 : recv(peer.fd, in, sizeof in, MSG_DONTWAIT);
  if (k > 0) tmx_buffer_append(&peer.in, in, (size_t)k);
  return peer.in.length > 4;
}

/* The first message: four bytes of length, most significant first, and the record. */
static void heartbeat_of_a_controller(struct recording *r) {
  struct tmx_heartbeat sent;
  char bytes[512];
  assert_true(run_loop_until(heartbeat_arrived, NULL));
  const uint8_t *p = peer.in.data;
  size_t length = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
  assert_true(peer.in.length >= 4 + length);
  decode_heartbeat(&sent, (char *)peer.in.data + 4, length);
  sent.revision = 0;
  sent.replica_age_ms = 0;
  record_line(r, "== as a controller sends it, with a length of %zu bytes before it", length);
  record_encoded(r, &sent, bytes, sizeof bytes);
  xdr_free((xdrproc_t)xdr_tmx_heartbeat, (char *)&sent);
}

static bool heard(void *arg) {
  (void)arg;
  return tmx_peers_heartbeat_age(first_controller->peers, "hand-1") < 1;
}

static void send_heartbeat(const char *bytes, size_t n) {
  struct sockaddr_in at;
  uint32_t length = htonl((uint32_t)n);
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  assert_true(tmx_parse_address(first_controller->settings.peer_listen, &at));
  assert_int_equal(connect(fd, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal(send(fd, &length, sizeof length, 0), sizeof length);
  assert_int_equal(send(fd, bytes, n, 0), n);
  assert_true(run_loop_until(heard, NULL));
  close(fd);
}

static void heartbeats(void **st) {
  (void)st;
  struct recording r = {0};
  char bytes[512];
  peer_listen();
  fake_adjust_settings = reach_peer_socket;
  first_controller = start_controller(0, 2);
  record_line(&r, "== every field in use");
  size_t n = full_heartbeat(&r, bytes, sizeof bytes);
  heartbeat_of_a_controller(&r);
  assert_false(heard(NULL));
  send_heartbeat(bytes, n);
  assert_int_equal(tmx_peers_zone_liveness(first_controller->peers, "hand-1")[0].machines, 40);
  assert_int_equal(tmx_peers_zone_liveness(first_controller->peers, "hand-1")[0].lost, 2);
  assert_int_equal(tmx_peers_zone_liveness(first_controller->peers, "hand-1")[0].alive, 38);
  assert_true(tmx_peers_reports_no_workers(first_controller->peers, "hand-1"));
  close(peer.listener);
  close(peer.fd);
  tmx_buffer_free(&peer.in);
  recording_check(&r, "heartbeats.txt");
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(names_of_the_protocol),
      cmocka_unit_test_setup_teardown(heartbeats, setup, teardown),
  };
  return RUN_TESTS(tests);
}
