/* cmocka with what it needs, and the main part of every test program. */
#ifndef TMX_TEST_H
#define TMX_TEST_H
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>

#include "base/log.h"

/* Runs the tests of an array and returns the program's exit code. The variable TMX_TEST selects one
 * of them by name, LOG_LEVEL sets how much the controllers log: errors, if it is not set. */
#define RUN_TESTS(tests) run_selected_tests(#tests, tests, sizeof(tests) / sizeof *(tests))

static inline int run_selected_tests(const char *group, const struct CMUnitTest *tests,
                                     size_t count) {
  setenv("LOG_LEVEL", "error", 0);
  tmx_log_init("test");
  if (getenv("TMX_TEST")) cmocka_set_test_filter(getenv("TMX_TEST"));
  return _cmocka_run_group_tests(group, tests, count, NULL, NULL);
}
#endif
