/** @file
 * Fixture for tests of the wire format: one controller, and one fake worker that the controller
 * reaches through a relay. The tests write requests with the literal names of the protocol, not
 * with the program's constants. */
#ifndef TMX_WIRE_FIXTURE_H
#define TMX_WIRE_FIXTURE_H
#include "recording.h"
#include "relay.h"

/** The controller under test; NULL: not started. */
extern struct tmx_controller *first_controller;
/** The fake worker, the agent of machine n-000001. */
extern struct fake_worker worker;
/** The relay between the controller and the worker's server. */
extern struct relay command_relay;
/** Address of the controller's HTTP server, for raw requests. */
extern char controller_address[32];

/** Starts the fake peers but no controller. */
int setup_recorded_peers(void **state);
/** Stops the controller, if it was started, and the fake peers. */
int teardown_recorded_peers(void **state);
/** Starts the first controller of a cluster of `count`, and does not wait until it is ready. */
void start_recorded_controller(int count);
/** Starts the controller of a cluster of one and waits until it is ready. */
void start_ready_controller(void);

/** Records a title line, the request and its response. */
void record_exchange(struct recording *recording, const char *title,
                     const struct exchange *exchange);
/** Sends a request to the controller and records it with its response.
 *  @param line method and path
 *  @param json the body, encoded as CBOR before it is sent; NULL: no body */
void send_and_record(struct recording *recording, const char *title, const char *line,
                     const char *json);

/** Sends a heartbeat of the worker, without recording it, and runs the event loop for 0.2 s. */
void send_unrecorded_heartbeat(void);

/** The body of a submission, as a JSON string literal. */
#define SUBMISSION(id, outfit, cpus)                                          \
  "{\"id\":\"" id "\",\"crew\":\"train\",\"outfit\":\"" outfit                \
  "\",\"sort\":\"batch\",\"rank\":\"high\",\"loads\":3,\"cpus\":" cpus        \
  ",\"gpus\":0.0,\"mem_gb\":2.0,\"kit\":\"img-07\",\"image_gb\":0.5,"         \
  "\"builds\":[\"big\"],\"yard\":\"a\",\"same_place\":true,\"spread\":false," \
  "\"loaner\":false,\"reckon_s\":240.0,\"tally_s\":30.0,\"stow_s\":4.5,\"due_s\":900.0}"

#endif
