#include "fake.h"

void fake_start(void) {
  fake_loop_open();
  fake_store_open();
  fake_controllers_open();
  fake_cloud_open();
}

void fake_stop(void) {
  fake_controllers_close();
  fake_store_close();
  fake_cloud_close();
}
