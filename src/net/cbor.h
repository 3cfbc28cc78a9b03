/** @file
 * CBOR based on libcbor. Includes the buffer, the writer, the reader and the computation of the
 * length as JSON. */
#ifndef TMX_CBOR_H
#define TMX_CBOR_H
#include "net/buffer.h"
#include "net/cbor_reader.h"
#include "net/cbor_writer.h"
#include "net/json_length.h"
#endif
