/** @file
 *  Fakes of everything that a controller talks to: the store, the cloud, workers and users. They
 *  use the real protocols over loopback, run on the event loop of the test, and fail on demand.
 *  This header includes the headers of all fakes. A test calls fake_start first and fake_stop last.
 *  All functions are called on the thread of the test. */
#ifndef TMX_FAKE_H
#define TMX_FAKE_H
#include "test.h"

#include "fake_cloud.h"
#include "fake_controllers.h"
#include "fake_loop.h"
#include "fake_store.h"
#include "fake_users.h"
#include "fake_worker.h"

/** Starts an empty store and cloud, and reserves the heartbeat ports of the controllers. */
void fake_start(void);
/** Stops the store and the cloud, and resets fake_adjust_settings and fake_peers_unreachable. The
 *  test stops its controllers first. */
void fake_stop(void);

#endif
