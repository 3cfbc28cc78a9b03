/** A fixture for tests of the forms on the wire: one controller, and one worker that it reaches
 *  through a relay. Requests are written as on the protocol's page, not with the program's own
 *  names. */
#ifndef TMX_WIRE_FIXTURE_H
#define TMX_WIRE_FIXTURE_H
#include "recording.h"
#include "relay.h"

/** The controller of the test; NULL: not started. */
extern struct tmx_controller *first_controller;
/** Machine n-000001. */
extern struct fake_worker worker;
/** Between the controller and the worker's server. */
extern struct relay commands;
/** Of the controller, for raw requests. */
extern char controller_address[32];

/** Starts the scripted peers, without a controller. */
int setup_recorded_peers(void **state);
/** Ends all of them, and the controller. */
int teardown_recorded_peers(void **state);
/** Starts the controller, the first of `count`. */
void start_recorded_controller(int count);
/** Starts the only controller and waits until it is ready. */
void start_ready_controller(void);

/** Records a request and its answer. */
void record_exchange(struct recording *recording, const char *title,
                     const struct exchange *exchange);
/** Sends a request to the controller and records it with its answer.
 *  @param json the body; NULL: none */
void ask(struct recording *recording, const char *title, const char *line, const char *json);

/** Sends a heartbeat of the worker, which is not recorded, and runs the loop for a short time. */
void send_unrecorded_heartbeat(void);

/** The body of a submission, as JSON. */
#define SUBMISSION(id, outfit, cpus)                                          \
  "{\"id\":\"" id "\",\"crew\":\"train\",\"outfit\":\"" outfit                \
  "\",\"sort\":\"batch\",\"rank\":\"high\",\"loads\":3,\"cpus\":" cpus        \
  ",\"gpus\":0.0,\"mem_gb\":2.0,\"kit\":\"img-07\",\"image_gb\":0.5,"         \
  "\"builds\":[\"big\"],\"yard\":\"a\",\"same_place\":true,\"spread\":false," \
  "\"loaner\":false,\"reckon_s\":240.0,\"tally_s\":30.0,\"stow_s\":4.5,\"due_s\":900.0}"

#endif
