/** @file
 *  Includes cmocka with the headers that it requires, and runs the tests of a test program. */
#ifndef TMX_TEST_H
#define TMX_TEST_H
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>

#include "base/log.h"

/** Runs an array of tests and evaluates to the exit code of the program. The environment variable
 *  TMX_TEST is a cmocka filter that selects tests by name. LOG_LEVEL sets the log level of the
 *  controllers, by default `error`. */
#define RUN_TESTS(tests) run_selected_tests(#tests, tests, sizeof(tests) / sizeof *(tests))

static inline int run_selected_tests(const char *group, const struct CMUnitTest *tests,
                                     size_t count) {
  setenv("LOG_LEVEL", "error", 0);
  tmx_log_init("test");
  if (getenv("TMX_TEST")) cmocka_set_test_filter(getenv("TMX_TEST"));
  return _cmocka_run_group_tests(group, tests, count, NULL, NULL);
}
#endif
