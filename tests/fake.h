/** The scripted peers of a controller: its store, its cloud, its workers and its users. They speak
 *  the protocols of the real ones over loopback, run on the event loop of the test, and fail on
 *  demand. This header includes those of all of them; fake_start and fake_stop bracket a test.
 *  Everything here belongs to the thread of the test. */
#ifndef TMX_FAKE_H
#define TMX_FAKE_H
#include "test.h"

#include "fake_cloud.h"
#include "fake_controllers.h"
#include "fake_loop.h"
#include "fake_store.h"
#include "fake_users.h"
#include "fake_worker.h"

/** Starts the store and the cloud, empty, and reserves the ports of the controllers. */
void fake_start(void);
/** Stops the store and the cloud and resets what a test set for the controllers. The test has
 *  stopped its controllers before. */
void fake_stop(void);

#endif
