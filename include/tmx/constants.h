/**
 * @file
 * The limits, periods and shares that the program uses, each with its unit and the reason for its
 * value. Values that depend on a deployment are derived from its settings instead. A share is a
 * fraction from 0 to 1. A name that ends in MAX denotes an upper limit, also where its comment does
 * not say "at most".
 *
 * Each file under tmx/constants holds the constants of one subject. Code includes this file.
 */
#ifndef TMX_CONSTANTS_H
#define TMX_CONSTANTS_H
#include "tmx/constants/admission.h"
#include "tmx/constants/cloud.h"
#include "tmx/constants/event_loop.h"
#include "tmx/constants/peers.h"
#include "tmx/constants/scheduling.h"
#include "tmx/constants/sizes.h"
#include "tmx/constants/store.h"
#include "tmx/constants/users.h"
#include "tmx/constants/workers.h"
#endif
