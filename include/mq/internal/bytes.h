/* Internal to packages/decide: conversion of integers to and from
   little-endian bytes.  */

#ifndef MQ_INTERNAL_BYTES_H
#define MQ_INTERNAL_BYTES_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

static inline void
mq_bytes_put_u64 (unsigned char *to, uint64_t value)
{
  for (int i = 0; i < 8; i++)
    to[i] = (unsigned char)(value >> (8 * i));
}

static inline uint64_t
mq_bytes_get_u64 (const unsigned char *from)
{
  uint64_t value = 0;

  for (int i = 7; i >= 0; i--)
    value = value << 8 | from[i];
  return value;
}

G_END_DECLS

#endif
