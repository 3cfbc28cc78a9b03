#ifndef TMX_TEST_H
#define TMX_TEST_H
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#endif
